"""Sums of load reports, as relays send them."""

from __future__ import annotations

import itertools
from collections import Counter
from collections.abc import Iterable, Sequence

from attrs import evolve

from cowslipstep.model.loads import (
    LoadReport,
    ModelDemand,
    UpstreamDoubt,
    UpstreamLoad,
)


def sum_reports(
    own: LoadReport,
    others: Sequence[LoadReport],
    *,
    covers_all_daemons: bool = False,
) -> LoadReport:
    """Return a relay's report: the sum of its own and those it passes on.

    Parameters
    ----------
    own
        Load report of the relay itself.
    others
        Reports of other daemons to pass on.
    covers_all_daemons
        Whether these are the reports of all daemons but the receiver.

    Examples
    --------
    >>> own = LoadReport('a', 1, 0, (UpstreamLoad('u', 1),))
    >>> loads = (UpstreamLoad('u', 2),)
    >>> other = LoadReport('b', 1, 0, loads, is_controller=True)
    >>> report = sum_reports(own, [other])
    >>> report.loads[0].requests, report.is_controller, report.from_relay
    (3, True, True)
    """
    reports = (own, *others)
    # The newest state counts, not the sum: a domain that is missing in it is
    # no longer evacuated.
    newest = max(reports, key=lambda report: report.evacuations_revision)
    return evolve(
        own,
        configuration_version=max(
            report.configuration_version for report in reports
        ),
        loads=_sum_loads(reports),
        demands=_sum_demands(reports),
        suspected_upstreams=_distinct_names(
            report.suspected_upstreams for report in reports
        ),
        reachable_unregistered=_distinct_names(
            report.reachable_unregistered for report in reports
        ),
        doubts=_sum_doubts(reports),
        has_served=any(report.has_served for report in reports),
        is_controller=any(report.is_controller for report in reports),
        daemons_known=max(report.daemons_known for report in reports),
        from_relay=True,
        covers_all_daemons=covers_all_daemons,
        evacuations_revision=newest.evacuations_revision,
        evacuated_domains=newest.evacuated_domains,
    )


def add_loads(upstream: str, loads: Sequence[UpstreamLoad]) -> UpstreamLoad:
    """Return the sum of several loads of one upstream."""
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
    groups: dict[tuple[str, str], float] = {}
    for demand in itertools.chain.from_iterable(
        report.demands for report in reports
    ):
        groups[demand.key] = groups.get(demand.key, 0) + demand.groups
    return tuple(
        ModelDemand(model, busy, service)
        for (service, model), busy in groups.items()
    )


def _sum_doubts(reports: Iterable[LoadReport]) -> tuple[UpstreamDoubt, ...]:
    daemons: Counter[str] = Counter()
    for doubt in itertools.chain.from_iterable(
        report.doubts for report in reports
    ):
        daemons[doubt.upstream] += doubt.daemons
    return tuple(itertools.starmap(UpstreamDoubt, daemons.items()))


def _distinct_names(listed: Iterable[tuple[str, ...]]) -> tuple[str, ...]:
    return tuple(dict.fromkeys(itertools.chain.from_iterable(listed)))
