"""Command ``report``."""

from __future__ import annotations

import datetime
import pathlib
import time
from typing import Annotated

import typer

from cowslipstep.cli._errors import ExitCode, UsageError
from cowslipstep.cli._evening_report import (
    EveningReport,
    build_report,
    render_html,
    render_text,
)
from cowslipstep.cli._options import (
    DEFAULT_PLATFORM,
    JsonOption,
    PlatformOption,
    connect,
)
from cowslipstep.cli._output import print_json, print_lines
from cowslipstep.cli._platform_objects import read_statuses
from cowslipstep.cli._stored_configuration import require_configuration
from cowslipstep.metrics import merge_day, utc_day
from cowslipstep.platform import PlatformClient

DayOption = Annotated[
    str,
    typer.Option(
        '--day',
        metavar='YYYY-MM-DD',
        help='day of the report, UTC; default: today',
    ),
]
HtmlOption = Annotated[
    pathlib.Path | None,
    typer.Option(
        '--html', metavar='FILE', help='also write the report as HTML'
    ),
]


def report(
    platform: PlatformOption = DEFAULT_PLATFORM,
    day: DayOption = '',
    html: HtmlOption = None,
    *,
    as_json: JsonOption = False,
) -> None:
    """Print the evening report: whether the day reached its targets, and why.

    The first line says yes or no with the reason. Exit codes: 0 yes, 1 no,
    2 invalid day or the HTML file cannot be written, 4 platform does not
    answer.

    Example: cowslipstep report --html today.html
    """
    evening_report = read_report(connect(platform), _checked_day(day))
    if html is not None:
        _write_text(html, render_html(evening_report))
    if as_json:
        print_json(evening_report)
    else:
        print_lines(render_text(evening_report))
    if not evening_report.well:
        raise typer.Exit(ExitCode.failed)


def read_report(platform: PlatformClient, day: str) -> EveningReport:
    """Build the evening report of a day from the status objects.

    Raises
    ------
    PlatformUnavailable
        If the platform does not answer.
    """
    merged = merge_day(day, read_statuses(platform, day))
    return build_report(merged, require_configuration(platform))


def _checked_day(text: str) -> str:
    if not text:
        return utc_day(time.time())
    try:
        return datetime.date.fromisoformat(text).isoformat()
    except ValueError:
        message = f'--day: expected YYYY-MM-DD, got {text!r}'
    raise UsageError(message)


def _write_text(path: pathlib.Path, text: str) -> None:
    try:
        path.write_text(text)
    except OSError as error:
        raise UsageError(f'cannot write {path}: {error.strerror}') from None
