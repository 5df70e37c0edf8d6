"""Choice of the group that a grant is for."""

from __future__ import annotations

from collections.abc import Iterable

from cowslipstep.model import SlotRequest
from cowslipstep.routing._affinity import PrefixMap
from cowslipstep.routing._grant_table import GrantTable
from cowslipstep.routing._outliers import OutlierDetector
from cowslipstep.routing._rooms import Room, RoomFinder
from cowslipstep.routing._views import Clock, GroupSlots

_MAX_IMBALANCE = 0.25
_READY_GAP_S = 1


class GroupChoice:
    """Chooses among the groups of a cell at the moment of a grant.

    Parameters
    ----------
    clock
        Monotonic clock, seconds.
    grants
        Grants in use.
    outliers
        Weights of the groups.
    prefixes
        Which group probably holds a prompt's head.
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
        self._rooms = RoomFinder(clock, grants, outliers)
        self._prefixes = prefixes
        self._groups: tuple[GroupSlots, ...] = ()

    def use_groups(
        self,
        groups: Iterable[GroupSlots],
        slot_share: float,
    ) -> bool:
        """Take over the groups and the share of their slots to use.

        Returns whether any of them is ready.
        """
        self._groups = tuple(groups)
        self._rooms.use_share(slot_share)
        self._outliers.watch_groups(group.group for group in self._groups)
        now = self._clock()
        return any(group.ready_until_s > now for group in self._groups)

    def free_slots(self) -> int:
        """Return how many requests the groups may take now."""
        rooms = self._rooms.find(self._rooms.trusted(self._groups))
        return sum(room.free for room in rooms)

    def choose(self, ask: SlotRequest) -> GroupSlots | None:
        """Return the group for an ask, or nothing if none has room.

        The group that probably holds the prompt's head is preferred while
        it is not much fuller than the emptiest one.
        """
        allowed = [
            group
            for group in self._groups
            if group.group not in ask.avoided_groups
        ]
        # An ask that avoids all others is better served by an ejected group.
        rooms = self._rooms.find(self._rooms.trusted(allowed) or allowed)
        if not rooms:
            return None
        chosen = self._preferred(rooms, ask.request.prefix_hash)
        self._prefixes.note(ask.request.prefix_hash, chosen.group)
        return chosen

    def may_serve(self, ask: SlotRequest) -> bool:
        """Whether a group is ready, or was lately, that may take an ask."""
        oldest = self._clock() - _READY_GAP_S
        return any(
            group.ready_until_s > oldest
            and group.group not in ask.avoided_groups
            for group in self._groups
        )

    def _preferred(self, rooms: list[Room], prefix_hash: int) -> GroupSlots:
        emptiest = min(rooms, key=lambda room: room.load)
        holder = self._prefixes.find(prefix_hash)
        for room in rooms:
            near = room.load - emptiest.load <= _MAX_IMBALANCE
            if room.group.group == holder and near:
                return room.group
        return emptiest.group
