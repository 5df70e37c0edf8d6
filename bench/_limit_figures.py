"""Errors against limits that nine entries and several cells share."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from _figures import Figure
from _limit_cases import LIMIT_CASES, LIMITED, LimitCase, limited_runs
from _limit_errors import (
    IN_PROGRESS,
    TOKENS_PER_S,
    in_progress_error,
    tokens_error,
)
from attrs import evolve

from cowslipstep.model import Workspace
from cowslipstep.replay import Outcome

_MAX_ERROR = 0.1


def limit_figures() -> Iterator[Figure]:
    """Yield the largest error in 20 s against each limit, in limits.

    The baseline is a fixed share of the limit for each cell.
    """
    rate = Workspace(LIMITED, tokens_per_s=TOKENS_PER_S)
    count = Workspace(LIMITED, max_in_progress=IN_PROGRESS)
    for case in LIMIT_CASES:
        yield _figure('tokens_per_s', case, rate, tokens_error)
        yield _figure('in_progress', case, count, in_progress_error)


def _figure(
    name: str,
    case: LimitCase,
    limited: Workspace,
    measure: Callable[[list[Outcome]], float],
) -> Figure:
    fixed = evolve(case, fleet=evolve(case.fleet, forwards_usage=False))
    return Figure(
        f'dispatch.limit_error.{name}.{case.name}',
        measure(limited_runs(case, limited)),
        'ratio',
        bound=_MAX_ERROR,
        baseline=measure(limited_runs(fixed, limited)),
    )
