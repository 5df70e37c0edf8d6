"""Sums of load reports, as relays tell them."""

from __future__ import annotations

import itertools
from collections.abc import Iterable, Sequence

from attrs import evolve

from cowslipstep.model.loads import LoadReport, ModelDemand, UpstreamLoad


def sum_reports(
    own: LoadReport,
    others: Sequence[LoadReport],
    *,
    whole: bool = False,
) -> LoadReport:
    """Return a relay's report: its own with those that it passes on.

    ``whole`` says that these are all others that the receiver needs.

    Examples
    --------
    >>> own = LoadReport('a', 1, 0, (UpstreamLoad('u', 1),))
    >>> loads = (UpstreamLoad('u', 2),)
    >>> told = LoadReport('b', 1, 0, loads, is_controller=True)
    >>> report = sum_reports(own, [told])
    >>> report.loads[0].requests, report.is_controller, report.from_relay
    (3, True, True)
    """
    told = (own, *others)
    return evolve(
        own,
        loads=_sum_loads(told),
        demands=_sum_demands(told),
        suspected_upstreams=_names(
            report.suspected_upstreams for report in told
        ),
        reachable_unregistered=_names(
            report.reachable_unregistered for report in told
        ),
        has_served=any(report.has_served for report in told),
        is_controller=any(report.is_controller for report in told),
        from_relay=True,
        covers_all_daemons=whole,
    )


def add_loads(upstream: str, loads: Sequence[UpstreamLoad]) -> UpstreamLoad:
    """Return the sum of loads of one upstream."""
    if len(loads) == 1:
        return loads[0]
    waiting = itertools.zip_longest(
        *(load.waiting_by_urgency for load in loads),
        fillvalue=0,
    )
    return UpstreamLoad(
        upstream,
        sum(load.requests for load in loads),
        tuple(map(sum, waiting)),
    )


def _sum_loads(reports: Iterable[LoadReport]) -> tuple[UpstreamLoad, ...]:
    by_upstream: dict[str, list[UpstreamLoad]] = {}
    for report in reports:
        for load in report.loads:
            by_upstream.setdefault(load.upstream, []).append(load)
    return tuple(
        add_loads(upstream, loads) for upstream, loads in by_upstream.items()
    )


def _sum_demands(reports: Iterable[LoadReport]) -> tuple[ModelDemand, ...]:
    groups: dict[str, float] = {}
    for demand in itertools.chain.from_iterable(
        report.demands for report in reports
    ):
        groups[demand.model] = groups.get(demand.model, 0) + demand.groups
    return tuple(ModelDemand(model, busy) for model, busy in groups.items())


def _names(listed: Iterable[tuple[str, ...]]) -> tuple[str, ...]:
    return tuple(dict.fromkeys(itertools.chain.from_iterable(listed)))
