"""Ways that are compared, and their figures over several cases."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from functools import partial
from statistics import fmean
from types import MappingProxyType

import attrs

from cowslipstep.replay.late_loads import _ways
from cowslipstep.replay.late_loads._announcements import FreeSlotAnnouncements
from cowslipstep.replay.late_loads._cases import LateLoadCase
from cowslipstep.replay.late_loads._decision import prefer_own_groups
from cowslipstep.replay.late_loads._known import Decide, Way
from cowslipstep.replay.late_loads._levelled import levelled
from cowslipstep.replay.late_loads._play import LateLoadFigures, play_way

MakeWay = Callable[[LateLoadCase], Way]


def _stateless(decide: Decide) -> MakeWay:
    return partial(_make_stateless, decide)


def _make_stateless(decide: Decide, _case: LateLoadCase) -> Way:
    return Way(decide)


WAYS: Mapping[str, MakeWay] = MappingProxyType(
    {
        'any': _stateless(_ways.any_group),
        'least': _stateless(_ways.least_loaded),
        'two': _stateless(_ways.two_random),
        'two by reports': _stateless(_ways.two_by_reports),
        'subset of 8': _stateless(_ways.of_subset),
        'announced': FreeSlotAnnouncements,
        'by free slots': _stateless(_ways.by_free_slots),
        'levelled': _stateless(levelled),
        'own groups': _stateless(prefer_own_groups),
    }
)


def play_late_loads(case: LateLoadCase, way: str) -> LateLoadFigures:
    """Replay a case with one of the ways."""
    return play_way(case, WAYS[way](case))


def mean_figures(cases: Iterable[LateLoadCase], way: str) -> LateLoadFigures:
    """Return the means of the figures of several cases."""
    played = [attrs.astuple(play_late_loads(case, way)) for case in cases]
    return LateLoadFigures(*map(fmean, zip(*played, strict=True)))
