"""Choice of the group on which a slot is granted."""

from __future__ import annotations

from collections.abc import Iterable

from cowslipstep.model import SlotRequest
from cowslipstep.routing._dispatcher_types import Clock, GroupSlots
from cowslipstep.routing._grant_table import GrantTable
from cowslipstep.routing._group_capacity import CapacityFinder, GroupCapacity
from cowslipstep.routing._outliers import OutlierDetector
from cowslipstep.routing._prefix_map import PrefixMap

_MAX_AFFINITY_IMBALANCE_SHARE = 0.25
_RECENTLY_READY_S = 1


class GroupChoice:
    """Chooses among the groups of a cell when a slot is granted.

    Parameters
    ----------
    clock
        Monotonic clock, seconds.
    grants
        Active grants.
    outliers
        Weights of the groups.
    prefixes
        Which group probably has the beginning of a prompt in its cache.
    """

    def __init__(
        self,
        clock: Clock,
        grants: GrantTable,
        outliers: OutlierDetector,
        prefixes: PrefixMap,
    ) -> None:
        self._clock = clock
        self._outliers = outliers
        self._capacities = CapacityFinder(clock, grants, outliers)
        self._prefixes = prefixes
        self._groups: tuple[GroupSlots, ...] = ()

    def update_groups(
        self,
        groups: Iterable[GroupSlots],
        slot_share: float,
    ) -> bool:
        """Set the groups and the share of their slots that may be granted.

        Returns whether any of the groups is ready.
        """
        self._groups = tuple(groups)
        self._capacities.update_slot_share(slot_share)
        self._outliers.update_groups(group.group for group in self._groups)
        now = self._clock()
        return any(group.ready_until_s > now for group in self._groups)

    def free_slots(self) -> int:
        """Return the number of slots that may be granted now."""
        candidates = self._capacities.with_free_slots(
            self._capacities.not_ejected(self._groups)
        )
        return sum(candidate.free for candidate in candidates)

    def choose(self, slot_request: SlotRequest) -> GroupSlots | None:
        """Return the group for a slot request, or ``None`` if all are full.

        The group that probably has the beginning of the prompt in its cache
        is preferred as long as its load is close to the smallest one.
        """
        allowed = [
            group
            for group in self._groups
            if group.group not in slot_request.avoided_groups
        ]
        # An ejected group is used if the slot request avoids all others.
        candidates = self._capacities.with_free_slots(
            self._capacities.not_ejected(allowed) or allowed
        )
        if not candidates:
            return None
        chosen = self._preferred(candidates, slot_request.request.prefix_hash)
        self._prefixes.record(slot_request.request.prefix_hash, chosen.group)
        return chosen

    def may_serve(self, slot_request: SlotRequest) -> bool:
        """Whether a group that is not avoided is ready, or was until lately."""
        oldest = self._clock() - _RECENTLY_READY_S
        return any(
            group.ready_until_s > oldest
            and group.group not in slot_request.avoided_groups
            for group in self._groups
        )

    def _preferred(
        self, candidates: list[GroupCapacity], prefix_hash: int
    ) -> GroupSlots:
        emptiest = min(candidates, key=lambda candidate: candidate.load)
        holder = self._prefixes.find(prefix_hash)
        for candidate in candidates:
            balanced = (
                candidate.load - emptiest.load <= _MAX_AFFINITY_IMBALANCE_SHARE
            )
            if candidate.group.group == holder and balanced:
                return candidate.group
        return emptiest.group
