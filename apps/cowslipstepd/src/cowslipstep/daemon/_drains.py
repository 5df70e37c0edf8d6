"""Groups that take no new work until theirs has finished."""

from __future__ import annotations

import time

from cowslipstep.daemon._leaving import DrainState, LeavingFeed
from cowslipstep.daemon._state import DaemonState
from cowslipstep.groups import (
    DomainLedger,
    Records,
    StragglerWatch,
    count_running,
    domain_of_group,
    draining_groups,
    is_at_work,
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
        self._stragglers = StragglerWatch(time.monotonic)

    @property
    def barred(self) -> frozenset[str]:
        """Hosts and groups that take no new work."""
        return self._feed.names | self._stragglers.barred

    def draining_in(self, domain: str) -> frozenset[str]:
        """Return the groups of a fabric domain that take no new work."""
        return frozenset(
            group for group in self._since_s if domain_of_group(group) == domain
        )

    def update(self, ledger: DomainLedger, records: Records) -> None:
        """Note which groups of a ledger drain now."""
        now = time.monotonic()
        self._stragglers.observe(records)
        draining = draining_groups(ledger, self.barred, records)
        for started in draining - self._since_s.keys():
            self._state.events.add('drain_started', started, _CAUSE)
            self._since_s[started] = now
        for name in tuple(self._since_s):
            if _is_of(name, ledger) and name not in draining:
                self._since_s.pop(name)

    def finished(
        self,
        ledger: DomainLedger,
        records: Records,
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
        records: Records,
    ) -> None:
        """Write the progress of the drains that concern a ledger."""
        for entry in self._feed.drains:
            target = entry.drain.target
            group = _find_group(target, ledger)
            if group is not None:
                remaining = count_running(group, records)
                self._feed.report(entry, DrainState.draining, remaining)
            elif target in hosts or _is_of(target, ledger):
                self._feed.report(entry, DrainState.drained)

    def _is_finished(self, group: Group, records: Records) -> bool:
        since_s = self._since_s.get(group.name)
        if since_s is None:
            return False
        if time.monotonic() - since_s > _DRAIN_LIMIT_S:
            return True
        return not is_at_work(group, records, since_s + _SETTLE_S)


def _find_group(target: str, ledger: DomainLedger) -> Group | None:
    for group in ledger.groups:
        if target == group.name or target in group.members:
            return group
    return None


def _is_of(group: str, ledger: DomainLedger) -> bool:
    return domain_of_group(group) == ledger.fabric_domain
