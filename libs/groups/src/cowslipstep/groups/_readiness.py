"""Readiness of groups, which runs out by itself."""

from __future__ import annotations

from collections.abc import Callable

from attrs import frozen

from cowslipstep.model import Group, GroupReadiness

READINESS_BOUND_S = 1.5


@frozen
class MemberReport:
    """What a member said when probed.

    Parameters
    ----------
    host
        Name of the member.
    group
        Group that it belongs to by its own word.
    ready
        Whether it has loaded its part of the model.
    heard_at_s
        Clock reading when the probe was sent.
    """

    host: str
    group: str
    ready: bool
    heard_at_s: float


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
        self._until_s[readiness.group] = start_s + readiness.remaining_s

    def ready_until_s(self, group: str) -> float:
        """Clock reading at which readiness runs out; zero if unknown."""
        return self._until_s.get(group, 0)

    def known_groups(self) -> tuple[str, ...]:
        """Names of the groups that are ready now."""
        now = self._clock()
        return tuple(
            group for group, until_s in self._until_s.items() if until_s > now
        )


def group_readiness(
    group: Group,
    reports: dict[str, MemberReport],
    now_s: float,
) -> GroupReadiness:
    """Work out how long a group may serve after the last probes.

    The oldest report of a member decides; a group with a missing member
    has no time left.
    """
    heard = [
        _heard_at_s(group, reports.get(member)) for member in group.members
    ]
    remaining_s = min(heard) + READINESS_BOUND_S - now_s
    return GroupReadiness(group.name, max(0, remaining_s))


def _heard_at_s(group: Group, report: MemberReport | None) -> float:
    if report is None or not report.ready or report.group != group.name:
        return float('-inf')
    return report.heard_at_s
