"""Groups that take no new work until theirs has finished."""

from __future__ import annotations

import time

from cowslipstep.daemon._leaving import DrainState, LeavingFeed
from cowslipstep.daemon._state import DaemonState
from cowslipstep.groups import (
    DomainLedger,
    DomainView,
    HostRecords,
    StragglerDetector,
    count_unfinished_requests,
    domain_of_group,
    draining_groups,
    has_running_requests,
    replaceable_hosts,
)
from cowslipstep.model import Group

# Slots granted before the drain are in use by then.
_SETTLE_S = 2
_DRAIN_LIMIT_S = 600
_CAUSE = 'a member leaves or is slow, or an operator asked'


class DrainTracker:
    """Follows the drains of the groups that this daemon probes.

    Parameters
    ----------
    state
        State of the daemon.
    feed
        Reads which hosts are leaving.
    """

    def __init__(self, state: DaemonState, feed: LeavingFeed) -> None:
        self._state = state
        self._feed = feed
        self._since_s: dict[str, float] = {}
        self._stragglers = StragglerDetector(time.monotonic)

    @property
    def barred(self) -> frozenset[str]:
        """Hosts and groups that are not used for new groups."""
        return self._feed.names | self._stragglers.excluded_hosts

    def is_draining(self, group: str) -> bool:
        """Whether a group takes no new work."""
        return group in self._since_s

    def update(self, view: DomainView) -> None:
        """Note which groups of a fabric domain drain now."""
        self._stragglers.observe(view.records)
        slow = replaceable_hosts(self._stragglers.excluded_hosts, view)
        leaving = self._feed.names | slow
        draining = draining_groups(view.ledger, leaving, view.records)
        for started in draining - self._since_s.keys():
            self._state.events.add('drain_started', started, _CAUSE)
            self._since_s[started] = view.now_s
        for name in tuple(self._since_s):
            if _is_of(name, view.ledger) and name not in draining:
                self._since_s.pop(name)

    def finished(
        self,
        ledger: DomainLedger,
        records: HostRecords,
    ) -> frozenset[str]:
        """Return the groups whose work has ended or whose time is up."""
        return frozenset(
            group.name
            for group in ledger.groups
            if self._is_finished(group, records)
        )

    def report(
        self,
        ledger: DomainLedger,
        hosts: frozenset[str],
        records: HostRecords,
    ) -> None:
        """Write the progress of the drains that concern a ledger."""
        for entry in self._feed.drains:
            target = entry.drain.target
            group = _find_group(target, ledger)
            if group is not None:
                remaining = count_unfinished_requests(group, records)
                self._feed.report(entry, DrainState.draining, remaining)
            elif target in hosts or _is_of(target, ledger):
                self._feed.report(entry, DrainState.drained)

    def _is_finished(self, group: Group, records: HostRecords) -> bool:
        since_s = self._since_s.get(group.name)
        if since_s is None:
            return False
        if time.monotonic() - since_s > _DRAIN_LIMIT_S:
            return True
        return not has_running_requests(group, records, since_s + _SETTLE_S)


def _find_group(target: str, ledger: DomainLedger) -> Group | None:
    for group in ledger.groups:
        if target == group.name or target in group.members:
            return group
    return None


def _is_of(group: str, ledger: DomainLedger) -> bool:
    return domain_of_group(group) == ledger.fabric_domain
