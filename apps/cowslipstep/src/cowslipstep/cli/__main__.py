"""Entry point of the ``cowslipstep`` command."""

from __future__ import annotations

import sys

import typer

from cowslipstep.cli._check import check
from cowslipstep.cli._diff import diff
from cowslipstep.cli._drain import drain, undrain
from cowslipstep.cli._error_summary import summarize_errors
from cowslipstep.cli._explain import explain
from cowslipstep.cli._report import report
from cowslipstep.cli._status import status
from cowslipstep.cli._submit import submit
from cowslipstep.cli._top import top

app = typer.Typer(
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
    rich_markup_mode=None,
    help='Operate a cowslipstep fleet.',
    epilog='Exit codes: 0 ok, 1 failed or a problem was found, 2 wrong usage '
    'or invalid document, 3 conflict, 4 platform or daemon does not answer.',
)
_COMMANDS = (check, diff, submit, status, drain, undrain, report, top)
_REGISTERED = tuple(app.command()(command) for command in _COMMANDS)
app.add_typer(explain, name='explain')


def main() -> None:
    """Run the tool; print each error as one line on standard error."""
    try:
        app()
    except* Exception as group:
        summary = summarize_errors(group.exceptions)
        for line in summary.lines:
            typer.echo(line, err=True)
        sys.exit(summary.code)


if __name__ == '__main__':
    main()
