"""Deviation from limits that nine entry daemons and all cells enforce."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from _figures import Figure
from _limit_cases import (
    LIMIT_CASES,
    LIMITED_WORKSPACE,
    LimitCase,
    limited_outcomes,
)
from _limit_errors import (
    MAX_IN_PROGRESS,
    MAX_TOKENS_PER_S,
    in_progress_error,
    token_rate_error,
)
from attrs import evolve

from cowslipstep.model import Workspace
from cowslipstep.replay import Outcome

_MAX_ERROR = 0.1


def limit_figures() -> Iterator[Figure]:
    """Yield the largest error in a window of 20 s, relative to each limit.

    In the baseline each cell enforces a fixed share of the limit, as entry
    daemons forward no usage.
    """
    rate_limited = Workspace(LIMITED_WORKSPACE, tokens_per_s=MAX_TOKENS_PER_S)
    progress_limited = Workspace(
        LIMITED_WORKSPACE, max_in_progress=MAX_IN_PROGRESS
    )
    for case in LIMIT_CASES:
        yield _figure('tokens_per_s', case, rate_limited, token_rate_error)
        yield _figure('in_progress', case, progress_limited, in_progress_error)


def _figure(
    name: str,
    case: LimitCase,
    limited: Workspace,
    measure: Callable[[list[Outcome]], float],
) -> Figure:
    without_forwarding = evolve(
        case, fleet=evolve(case.fleet, forwards_usage=False)
    )
    return Figure(
        f'dispatch.limit_error.{name}.{case.name}',
        measure(limited_outcomes(case, limited)),
        'ratio',
        bound=_MAX_ERROR,
        baseline=measure(limited_outcomes(without_forwarding, limited)),
    )
