"""Command ``report``."""

from __future__ import annotations

import datetime
import pathlib
import time
from typing import Annotated

import typer

from cowslipstep.cli._evening import (
    Page,
    build_page,
    render_html,
    render_text,
)
from cowslipstep.cli._exits import ExitCode, WrongUse
from cowslipstep.cli._fleet import read_statuses
from cowslipstep.cli._options import (
    DEFAULT_PLATFORM,
    JsonOption,
    PlatformOption,
    connect,
)
from cowslipstep.cli._output import print_json, print_lines
from cowslipstep.cli._store import require_configuration
from cowslipstep.metrics import day_of, merge_day
from cowslipstep.platform import PlatformClient

DayOption = Annotated[
    str,
    typer.Option('--day', metavar='YYYY-MM-DD', help='by default today, UTC'),
]
HtmlOption = Annotated[
    pathlib.Path | None,
    typer.Option('--html', metavar='FILE', help='write the page as HTML too'),
]


def report(
    platform: PlatformOption = DEFAULT_PLATFORM,
    day: DayOption = '',
    html: HtmlOption = None,
    *,
    as_json: JsonOption = False,
) -> None:
    """Print the evening page: did the day go well, and why.

    The first line says yes or no with the reason. Exit codes: 0 yes, 1 no,
    2 no such day or the HTML file cannot be written, 4 platform does not
    answer.

    Example: cowslipstep report --html today.html
    """
    page = read_page(connect(platform), _checked_day(day))
    if html is not None:
        _write(html, render_html(page))
    if as_json:
        print_json(page)
    else:
        print_lines(render_text(page))
    if not page.well:
        raise typer.Exit(ExitCode.failed)


def read_page(platform: PlatformClient, day: str) -> Page:
    """Build the page of a day from the status objects.

    Raises
    ------
    PlatformUnavailable
        If the platform does not answer.
    """
    merged = merge_day(day, read_statuses(platform))
    return build_page(merged, require_configuration(platform))


def _checked_day(text: str) -> str:
    if not text:
        return day_of(time.time())
    try:
        return datetime.date.fromisoformat(text).isoformat()
    except ValueError:
        message = f'--day: expected YYYY-MM-DD, got {text!r}'
    raise WrongUse(message)


def _write(path: pathlib.Path, text: str) -> None:
    try:
        path.write_text(text)
    except OSError as error:
        raise WrongUse(f'cannot write {path}: {error.strerror}') from None
