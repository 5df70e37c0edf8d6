"""Placement by loads that many daemons know late, and the former one."""

from __future__ import annotations

import itertools
from collections.abc import Iterable, Iterator

import attrs
from _figures import Figure

from cowslipstep.replay.late_loads import LateLoadCase, mean_figures

# Daemons and groups.
_FLEETS = ((71, 48), (62, 41))
_UTILISATIONS = (0.5, 0.8, 0.95)
_AGES_S = (0.1, 0.3, 1)
_CHOSEN = 'own groups'
_FORMER = 'two'
# Required at utilisation 0.8 with reports 0.3 s old.
_MAX_HIGH_OVER_MEAN = 1.5
_BOUNDED = 'placement.late_loads_0.8_0.3s.high_over_mean'


def late_load_figures() -> Iterator[Figure]:
    """Yield the measures at several utilisations and ages of reports."""
    for utilisation, age_s in itertools.product(_UTILISATIONS, _AGES_S):
        cases = tuple(
            LateLoadCase(daemons, groups, utilisation, age_s)
            for daemons, groups in _FLEETS
        )
        yield from _beside_former(
            f'placement.late_loads_{utilisation}_{age_s}s', cases
        )


def _beside_former(
    prefix: str, cases: Iterable[LateLoadCase]
) -> Iterator[Figure]:
    chosen = attrs.asdict(mean_figures(cases, _CHOSEN))
    former = attrs.asdict(mean_figures(cases, _FORMER))
    for name, measured in chosen.items():
        yield _figure(f'{prefix}.{name}', measured, former[name])


def _figure(bench: str, measured: float, former: float) -> Figure:
    return Figure(
        bench,
        measured,
        's' if bench.endswith('wait_s') else 'ratio',
        bound=_MAX_HIGH_OVER_MEAN if bench == _BOUNDED else None,
        baseline=former,
    )
