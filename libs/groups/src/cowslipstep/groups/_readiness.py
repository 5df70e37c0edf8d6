"""Readiness of groups, which expires unless probes renew it."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from cowslipstep.groups._host_records import HostRecord, HostState
from cowslipstep.model import Group, GroupReadiness

# A group may serve for this time after the oldest probe of its members.
READINESS_LIFETIME_S = 1.5
# Expired entries are dropped after this time, when a new group is recorded.
_EXPIRED_RETENTION_S = 60


class ReadinessTable:
    """Times until which groups may serve requests.

    Parameters
    ----------
    clock
        Monotonic clock, seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._until_s: dict[str, float] = {}
        self._new_group_listeners: list[Callable[[str], None]] = []

    def on_new_group(self, listener: Callable[[str], None]) -> None:
        """Call ``listener`` with the name of each newly recorded group."""
        self._new_group_listeners.append(listener)

    def record(
        self,
        readiness: GroupReadiness,
        counted_from_s: float | None = None,
    ) -> None:
        """Record the readiness of a group.

        Its remaining time counts from ``counted_from_s``, by default from now.
        """
        now = self._clock()
        start_s = now if counted_from_s is None else counted_from_s
        is_new = readiness.group not in self._until_s
        self._until_s[readiness.group] = start_s + readiness.remaining_s
        if is_new:
            self._drop_expired(now - _EXPIRED_RETENTION_S)
            for listener in self._new_group_listeners:
                listener(readiness.group)

    def ready_until_s(self, group: str) -> float:
        """Return the clock reading at which a group's readiness expires.

        Zero if the group is unknown.
        """
        return self._until_s.get(group, 0)

    def _drop_expired(self, oldest_s: float) -> None:
        self._until_s = {
            group: until_s
            for group, until_s in self._until_s.items()
            if until_s > oldest_s
        }


def group_readiness(
    group: Group,
    records: Mapping[str, HostRecord],
    now_s: float,
) -> GroupReadiness:
    """Return the time for which a group may serve after the last probes.

    It counts from the oldest probe among the last ones of its members. It is
    zero if a member did not report that it is ready in the group.
    """
    probed_ready_s = [
        _probed_ready_at_s(group, records.get(member))
        for member in group.members
    ]
    remaining_s = min(probed_ready_s) + READINESS_LIFETIME_S - now_s
    return GroupReadiness(group.name, max(0, remaining_s))


def _probed_ready_at_s(group: Group, record: HostRecord | None) -> float:
    if record is None or record.report is None:
        return float('-inf')
    report = record.report
    if report.state != HostState.ready or report.group != group.name:
        return float('-inf')
    return report.probed_at_s
