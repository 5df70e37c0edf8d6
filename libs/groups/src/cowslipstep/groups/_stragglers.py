"""Detects hosts that slow their groups down."""

from __future__ import annotations

import collections
import statistics
from collections.abc import Callable, Iterator, Mapping

from attrs import evolve

from cowslipstep.groups._domain_planning import DomainView, free_runners
from cowslipstep.groups._host_records import HostRecord, HostReport, HostState

# A host is slow if its token interval exceeds the median of its model by this
# factor.
_STRAGGLER_TOKEN_INTERVAL_FACTOR = 4
_MIN_HOSTS_TO_COMPARE = 3
_MIN_SLOW_PERIOD_S = 1.5
_EXCLUSION_S = 60


class StragglerDetector:
    """Excludes hosts that stay far slower than the others of their model.

    Explanation
    -----------
    One slow report is not enough: when all hosts become slower together, they
    are probed one after the other, and the first one to report it looks like a
    straggler until the others have reported it too.

    Parameters
    ----------
    clock
        Monotonic clock, seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._slow_since_s: dict[str, float] = {}
        self._excluded_until_s: dict[str, float] = {}

    @property
    def excluded_hosts(self) -> frozenset[str]:
        """Names of the hosts that should be in no group at present."""
        now = self._clock()
        return frozenset(
            host
            for host, until_s in self._excluded_until_s.items()
            if until_s > now
        )

    def observe(self, records: Mapping[str, HostRecord]) -> None:
        """Update the exclusions from new records; to be called periodically."""
        now = self._clock()
        self._slow_since_s = {
            host: self._slow_since_s.get(host, now)
            for host in find_stragglers(records)
        }
        for host, since_s in self._slow_since_s.items():
            if now - since_s >= _MIN_SLOW_PERIOD_S:
                self._excluded_until_s[host] = now + _EXCLUSION_S


def find_stragglers(records: Mapping[str, HostRecord]) -> frozenset[str]:
    """Return the hosts that are far slower than the others of their model."""
    by_model = collections.defaultdict(list)
    for report in _reports_with_token_interval(records):
        by_model[report.model].append(report)
    slow: set[str] = set()
    for reports in by_model.values():
        slow.update(_slow_hosts(reports))
    return frozenset(slow)


def replaceable_hosts(slow: frozenset[str], view: DomainView) -> frozenset[str]:
    """Return the slow hosts that are in no group or that spares can replace.

    Without a spare host the group could not be formed again, and a slow group
    serves more requests than none.

    Parameters
    ----------
    slow
        Names of slow hosts.
    view
        State of the fabric domain.
    """
    to_replace = slow - view.ledger.assigned_hosts
    spares = len(
        free_runners(evolve(view, excluded_hosts=view.excluded_hosts | slow))
    )
    for group in view.ledger.groups:
        members = slow.intersection(group.members)
        if len(members) <= spares:
            spares -= len(members)
            to_replace |= members
    return to_replace


def _slow_hosts(reports: list[HostReport]) -> Iterator[str]:
    if len(reports) < _MIN_HOSTS_TO_COMPARE:
        return
    median_s = statistics.median(report.token_interval_s for report in reports)
    for report in reports:
        if (
            report.token_interval_s
            > median_s * _STRAGGLER_TOKEN_INTERVAL_FACTOR
        ):
            yield report.host


def _reports_with_token_interval(
    records: Mapping[str, HostRecord],
) -> Iterator[HostReport]:
    for record in records.values():
        report = record.report
        if report is None or not report.token_interval_s:
            continue
        if report.state == HostState.ready:
            yield report
