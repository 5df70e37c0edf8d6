"""Free slots of groups, by their readiness, weights and active grants."""

from __future__ import annotations

from collections.abc import Iterable

from attrs import frozen

from cowslipstep.routing._dispatcher_types import Clock, GroupSlots
from cowslipstep.routing._grant_table import GrantTable
from cowslipstep.routing._outliers import OutlierDetector


@frozen
class GroupCapacity:
    """Slots of a group that may be granted, and those in use.

    Parameters
    ----------
    group
        The group.
    slots
        Slots that may be granted, after weight and slot share.
    in_use
        Slots that are granted.
    """

    group: GroupSlots
    slots: int
    in_use: int

    @property
    def free(self) -> int:
        """Number of slots that are not in use."""
        return self.slots - self.in_use

    @property
    def load(self) -> float:
        """Share of the slots that is in use."""
        return self.in_use / self.slots


class CapacityFinder:
    """Finds groups with free slots.

    Parameters
    ----------
    clock
        Monotonic clock, seconds.
    grants
        Active grants.
    outliers
        Weights of the groups.
    """

    def __init__(
        self,
        clock: Clock,
        grants: GrantTable,
        outliers: OutlierDetector,
    ) -> None:
        self._clock = clock
        self._grants = grants
        self._outliers = outliers
        self._slot_share: float = 1

    def update_slot_share(self, slot_share: float) -> None:
        """Set the share of each group's slots that may be granted."""
        self._slot_share = slot_share

    def not_ejected(self, groups: Iterable[GroupSlots]) -> list[GroupSlots]:
        """Return the groups that are ready and not ejected."""
        now = self._clock()
        return [
            group
            for group in groups
            if group.ready_until_s > now
            and not self._outliers.is_ejected(group.group)
        ]

    def with_free_slots(
        self, groups: Iterable[GroupSlots]
    ) -> list[GroupCapacity]:
        """Return the capacity of each group that is ready and not full."""
        if not self._slot_share:
            return []
        now = self._clock()
        ready = [group for group in groups if group.ready_until_s > now]
        capacities = [self._capacity(group) for group in ready]
        return [capacity for capacity in capacities if capacity.free > 0]

    def _capacity(self, group: GroupSlots) -> GroupCapacity:
        share = self._slot_share * self._outliers.weight(group.group)
        slots = max(1, int(group.slots * share))
        return GroupCapacity(
            group, slots, self._grants.slot_counts.of_group(group.group)
        )
