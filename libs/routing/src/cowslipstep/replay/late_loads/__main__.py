"""Prints the figures of all ways to choose by loads that are known late."""

from __future__ import annotations

import itertools

import attrs
import typer

from cowslipstep.replay.late_loads import (
    WAYS,
    LateLoadCase,
    LateLoadFigures,
    mean_figures,
)

_UTILISATIONS = (0.5, 0.8, 0.95)
_AGES_S = (0.1, 0.3, 0.5, 1)
_FLEETS = ((71, 48), (62, 41))
_SEEDS = range(2)
_LENGTH_S = 60


def run() -> None:
    """Print a line for each utilisation, age and way."""
    names = [column.name for column in attrs.fields(LateLoadFigures)]
    typer.echo(' '.join(('utilisation', 'age_s', *names, 'way')))
    for utilisation, age_s in itertools.product(_UTILISATIONS, _AGES_S):
        for way in WAYS:
            columns = _columns(utilisation, age_s, way)
            typer.echo(f'{utilisation} {age_s} {columns} {way}')


def _columns(utilisation: float, age_s: float, way: str) -> str:
    figures = mean_figures(_cases(utilisation, age_s), way)
    return ' '.join(f'{figure:.3f}' for figure in attrs.astuple(figures))


def _cases(utilisation: float, age_s: float) -> list[LateLoadCase]:
    return [
        LateLoadCase(
            daemons, groups, utilisation, age_s, length_s=_LENGTH_S, seed=seed
        )
        for daemons, groups in _FLEETS
        for seed in _SEEDS
    ]


if __name__ == '__main__':
    typer.run(run)
