"""Drains: groups that finish their requests and accept no new ones."""

from __future__ import annotations

import time

from cowslipstep.daemon._drain_targets import DrainState, DrainTargets
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

# A request with a slot granted before the drain began reaches the engine
# within this time, and is reported as running from then on.
_GRANT_SETTLE_S = 2
_DRAIN_TIMEOUT_S = 600
_DRAIN_CAUSE = 'a member leaves or is slow, or an operator asked'


class DrainTracker:
    """Tracks the drains of the groups that this daemon probes.

    Parameters
    ----------
    state
        State of the daemon.
    targets
        The hosts and groups that must be drained.
    """

    def __init__(self, state: DaemonState, targets: DrainTargets) -> None:
        self._state = state
        self._targets = targets
        self._started_s: dict[str, float] = {}
        self._stragglers = StragglerDetector(time.monotonic)

    @property
    def excluded(self) -> frozenset[str]:
        """Hosts and groups whose hosts must not form new groups."""
        return self._targets.names | self._stragglers.excluded_hosts

    def is_draining(self, group: str) -> bool:
        """Return whether a group is being drained and gets no new requests."""
        return group in self._started_s

    def update(self, view: DomainView) -> None:
        """Start and end the drains of the groups of a fabric domain."""
        self._stragglers.observe(view.records)
        slow = replaceable_hosts(self._stragglers.excluded_hosts, view)
        draining_names = self._targets.names | slow
        draining = draining_groups(view.ledger, draining_names, view.records)
        for group_name in draining - self._started_s.keys():
            self._state.events.add('drain_started', group_name, _DRAIN_CAUSE)
            self._started_s[group_name] = view.now_s
        for name in tuple(self._started_s):
            if _is_in_domain(name, view.ledger) and name not in draining:
                self._started_s.pop(name)

    def finished_groups(
        self,
        ledger: DomainLedger,
        records: HostRecords,
    ) -> frozenset[str]:
        """Return the groups that are drained or exceeded the drain timeout."""
        return frozenset(
            group.name
            for group in ledger.groups
            if self._is_drained(group, records)
        )

    def report_progress(
        self,
        ledger: DomainLedger,
        hosts: frozenset[str],
        records: HostRecords,
    ) -> None:
        """Report the progress of the requested drains of a fabric domain."""
        for entry in self._targets.requests:
            target = entry.drain.target
            group = _find_group(target, ledger)
            if group is not None:
                remaining = count_unfinished_requests(group, records)
                self._targets.report_progress(
                    entry, DrainState.draining, remaining
                )
            elif target in hosts or _is_in_domain(target, ledger):
                self._targets.report_progress(entry, DrainState.drained)

    def _is_drained(self, group: Group, records: HostRecords) -> bool:
        started_s = self._started_s.get(group.name)
        if started_s is None:
            return False
        if time.monotonic() - started_s > _DRAIN_TIMEOUT_S:
            return True
        return not has_running_requests(
            group, records, started_s + _GRANT_SETTLE_S
        )


def _find_group(target: str, ledger: DomainLedger) -> Group | None:
    for group in ledger.groups:
        if target == group.name or target in group.members:
            return group
    return None


def _is_in_domain(group: str, ledger: DomainLedger) -> bool:
    return domain_of_group(group) == ledger.fabric_domain
