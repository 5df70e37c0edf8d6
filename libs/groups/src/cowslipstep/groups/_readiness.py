"""Readiness of groups, which runs out by itself."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from cowslipstep.groups._hosts import HostRecord, HostState
from cowslipstep.model import Group, GroupReadiness

READINESS_LIFETIME_S = 1.5
_FORGET_AFTER_S = 60


class ReadinessTable:
    """Clock readings until which groups may serve.

    Parameters
    ----------
    clock
        Monotonic clock, seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._until_s: dict[str, float] = {}
        self._on_new: list[Callable[[str], None]] = []

    def on_new_group(self, listener: Callable[[str], None]) -> None:
        """Call ``listener`` with the name of each group first heard of."""
        self._on_new.append(listener)

    def learn(
        self,
        readiness: GroupReadiness,
        counted_from_s: float | None = None,
    ) -> None:
        """Take over a readiness sent as remaining time.

        It counts from ``counted_from_s``, by default from now.
        """
        now = self._clock()
        start_s = now if counted_from_s is None else counted_from_s
        is_new = readiness.group not in self._until_s
        self._until_s[readiness.group] = start_s + readiness.remaining_s
        if is_new:
            self._forget(now - _FORGET_AFTER_S)
            for listener in self._on_new:
                listener(readiness.group)

    def ready_until_s(self, group: str) -> float:
        """Clock reading at which readiness runs out; zero if unknown."""
        return self._until_s.get(group, 0)

    def _forget(self, oldest_s: float) -> None:
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
    """Work out how long a group may serve after the last probes.

    The oldest report of a member decides; a group with a missing member
    has no time left.
    """
    heard = [
        _heard_at_s(group, records.get(member)) for member in group.members
    ]
    remaining_s = min(heard) + READINESS_LIFETIME_S - now_s
    return GroupReadiness(group.name, max(0, remaining_s))


def _heard_at_s(group: Group, record: HostRecord | None) -> float:
    if record is None or record.report is None:
        return float('-inf')
    report = record.report
    if report.state != HostState.ready or report.group != group.name:
        return float('-inf')
    return report.heard_at_s
