"""Printing of JSON, lines, tables and progress."""

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
    """A progress line of a waiting command, on standard error.

    On a terminal a changed line replaces the former one; elsewhere each
    change is printed as a new line.
    """

    def __init__(self) -> None:
        self._last = ''

    def show(self, line: str) -> None:
        """Show a line unless it is the one that is shown already."""
        if line == self._last:
            return
        self._last = line
        if sys.stderr.isatty():
            typer.echo(f'\r\033[K{line}', err=True, nl=False)
        else:
            typer.echo(line, err=True)

    def finish(self) -> None:
        """Move to a new line on a terminal, so that later output is apart."""
        if self._last and sys.stderr.isatty():
            typer.echo('', err=True)


@contextlib.contextmanager
def progress_line() -> Iterator[Progress]:
    """Yield a progress line; finish it when the block is left."""
    progress = Progress()
    try:
        yield progress
    finally:
        progress.finish()


def table(rows: Iterable[tuple[str, ...]]) -> list[str]:
    """Return rows as lines, each column padded to its widest cell.

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
