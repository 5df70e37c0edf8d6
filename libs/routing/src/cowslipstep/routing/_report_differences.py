"""Sums of load reports without one of the reports."""

from __future__ import annotations

import itertools
import operator
from collections.abc import Iterable

from attrs import evolve

from cowslipstep.model.loads import LoadReport, ModelDemand, UpstreamLoad


def subtract_report(total: LoadReport, part: LoadReport) -> LoadReport:
    """Return a sum of reports without the loads and demands of one of them.

    Costs as much as the part is large, so that a relay can sum the reports of
    many followers once, and leave each one out for itself.

    Examples
    --------
    >>> loads = (UpstreamLoad('u', 3, (1, 1)), UpstreamLoad('v', 1))
    >>> total = LoadReport('a', 1, 0, loads)
    >>> part = LoadReport('b', 1, 0, (UpstreamLoad('u', 2, (1,)), loads[1]))
    >>> subtract_report(total, part).loads
    (UpstreamLoad(upstream='u', requests=1, waiting_by_urgency=(0, 1)),)
    """
    loads = {load.upstream: load for load in total.loads}
    for load in part.loads:
        left = _subtract_load(loads.pop(load.upstream), load)
        if left.requests:
            loads[load.upstream] = left
    return evolve(
        total,
        loads=tuple(loads.values()),
        demands=_subtract_demands(total.demands, part.demands),
    )


def _subtract_demands(
    total: Iterable[ModelDemand], part: Iterable[ModelDemand]
) -> tuple[ModelDemand, ...]:
    demands = {demand.key: demand for demand in total}
    for demand in part:
        groups = demands[demand.key].groups - demand.groups
        demands[demand.key] = evolve(demand, groups=max(0, groups))
    return tuple(demands.values())


def _subtract_load(total: UpstreamLoad, part: UpstreamLoad) -> UpstreamLoad:
    waiting = itertools.zip_longest(
        total.waiting_by_urgency, part.waiting_by_urgency, fillvalue=0
    )
    return UpstreamLoad(
        total.upstream,
        total.requests - part.requests,
        tuple(itertools.starmap(operator.sub, waiting)),
    )
