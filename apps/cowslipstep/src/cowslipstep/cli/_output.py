"""Printing of results and progress."""

from __future__ import annotations

import contextlib
import json
import sys
from collections.abc import Iterable, Iterator
from typing import Any

import typer

from cowslipstep.settings import unstructure


def print_json(document: Any) -> None:
    """Print attrs classes or plain values as one JSON document."""
    typer.echo(json.dumps(unstructure(document), indent=2))


def print_lines(lines: Iterable[str]) -> None:
    """Print lines of text."""
    for line in lines:
        typer.echo(line)


class Progress:
    """A line on standard error that tells how far a wait has come.

    On a terminal the line is replaced, elsewhere each change is a line.
    """

    def __init__(self) -> None:
        self._last = ''

    def show(self, line: str) -> None:
        """Show a line unless it is the one already shown."""
        if line == self._last:
            return
        self._last = line
        if sys.stderr.isatty():
            typer.echo(f'\r\033[K{line}', err=True, nl=False)
        else:
            typer.echo(line, err=True)

    def finish(self) -> None:
        """End the line."""
        if self._last and sys.stderr.isatty():
            typer.echo('', err=True)


@contextlib.contextmanager
def progress_line() -> Iterator[Progress]:
    """Yield a progress line that is ended at the end."""
    progress = Progress()
    try:
        yield progress
    finally:
        progress.finish()


def table(rows: Iterable[tuple[str, ...]]) -> list[str]:
    """Return rows as lines with columns of one width each.

    Examples
    --------
    >>> table([('name', 'age'), ('d0', '3 s')])
    ['name  age', 'd0    3 s']
    """
    listed = list(rows)
    columns = zip(*listed, strict=True)
    widths = [max(map(len, column)) for column in columns]
    return [_join(row, widths) for row in listed]


def _join(row: tuple[str, ...], widths: list[int]) -> str:
    cells = map(str.ljust, row, widths)
    return '  '.join(cells).rstrip()
