"""Runs the benches and prints a JSON line for each figure.

Each module ``bench_<name>.py`` beside this file has a function ``figures``
that yields the figures of the bench.
"""

from __future__ import annotations

import importlib
import pathlib
import sys
from typing import Annotated

import typer

_FOLDER = pathlib.Path(__file__).parent
_PREFIX = 'bench_'


def run(
    only: Annotated[str, typer.Option(help='name of one bench')] = '',
) -> None:
    """Run all benches, or one; exit with 1 if a figure misses its bound."""
    names = [only] if only else _bench_names()
    missed = False
    for name in names:
        for figure in importlib.import_module(f'{_PREFIX}{name}').figures():
            typer.echo(figure.render())
            missed = missed or not figure.ok
    sys.exit(1 if missed else 0)


def _bench_names() -> list[str]:
    return sorted(
        path.stem.removeprefix(_PREFIX)
        for path in _FOLDER.glob(f'{_PREFIX}*.py')
    )


if __name__ == '__main__':
    sys.path.insert(0, str(_FOLDER))
    typer.run(run)
