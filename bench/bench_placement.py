"""Placement of requests, beside the former decisions."""

from __future__ import annotations

from collections.abc import Iterator

from _figures import Figure
from _late_load_figures import late_load_figures
from _two_models import ENGINE, PAIR

from cowslipstep.replay._placement_replay import (
    PlacementCase,
    soonest_with_jitter,
    waiting_share,
)
from cowslipstep.routing import ModelTimes, UsualRequest

# Requests for the small model: tokens, arrivals a second, numbers of groups.
_PROMPT = 700
_OUTPUT = 150
_REQUESTS_PER_S = 230
_PAIR_GROUPS = (66, 55, 48, 41)


def figures() -> Iterator[Figure]:
    """Yield measures by number of groups, and by the age of the reports."""
    times = ModelTimes(ENGINE, PAIR, UsualRequest(_PROMPT, _OUTPUT))
    for groups in _PAIR_GROUPS:
        case = PlacementCase(times, groups, _REQUESTS_PER_S)
        yield Figure(
            f'placement.waiting_share_{groups}_groups',
            waiting_share(case),
            'share',
            baseline=waiting_share(case, soonest_with_jitter),
        )
    yield from late_load_figures()
