"""Choice of the group that a grant is for."""

from __future__ import annotations

from collections.abc import Iterable

from attrs import frozen

from cowslipstep.model import Ask
from cowslipstep.routing._affinity import PrefixMap
from cowslipstep.routing._grant_table import GrantTable
from cowslipstep.routing._outliers import OutlierDetector
from cowslipstep.routing._views import Clock, GroupSlots

_MAX_IMBALANCE = 0.25
_READY_GAP_S = 1


@frozen
class _Room:
    """A group that may take a request, and how full it is."""

    group: GroupSlots
    slots: int
    in_use: int

    @property
    def free(self) -> int:
        """Slots that are not in use."""
        return self.slots - self.in_use

    @property
    def load(self) -> float:
        """Share of the slots that is in use."""
        return self.in_use / self.slots


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
        self._prefixes = PrefixMap()
        self._groups: tuple[GroupSlots, ...] = ()
        self._slot_share: float = 1

    def use_groups(
        self,
        groups: Iterable[GroupSlots],
        slot_share: float,
    ) -> bool:
        """Take over the groups and the share of their slots to use.

        Returns whether any of them is ready.
        """
        self._groups = tuple(groups)
        self._slot_share = slot_share
        self._outliers.watch_groups(group.group for group in self._groups)
        now = self._clock()
        return any(group.ready_until_s > now for group in self._groups)

    def free_slots(self) -> int:
        """Return how many requests the groups may take now."""
        now = self._clock()
        rooms = [self._room(group, now) for group in self._groups]
        return sum(room.free for room in rooms if room is not None)

    def choose(self, ask: Ask) -> GroupSlots | None:
        """Return the group for an ask, or nothing if none has room.

        The group that probably holds the prompt's head is preferred while
        it is not much fuller than the emptiest one.
        """
        now = self._clock()
        allowed = [
            group for group in self._groups if group.group not in ask.avoid
        ]
        seen = [self._room(group, now) for group in allowed]
        rooms = [room for room in seen if room is not None]
        if not rooms:
            return None
        chosen = self._preferred(rooms, ask.request.prefix_hash)
        self._prefixes.note(ask.request.prefix_hash, chosen.group)
        return chosen

    def may_serve(self, ask: Ask) -> bool:
        """Whether a group is ready, or was lately, that may take an ask."""
        oldest = self._clock() - _READY_GAP_S
        return any(
            group.ready_until_s > oldest and group.group not in ask.avoid
            for group in self._groups
        )

    def _preferred(self, rooms: list[_Room], prefix_hash: int) -> GroupSlots:
        emptiest = min(rooms, key=lambda room: room.load)
        holder = self._prefixes.find(prefix_hash)
        for room in rooms:
            near = room.load - emptiest.load <= _MAX_IMBALANCE
            if room.group.group == holder and near:
                return room.group
        return emptiest.group

    def _room(self, group: GroupSlots, now_s: float) -> _Room | None:
        if not self._slot_share or group.ready_until_s <= now_s:
            return None
        if self._outliers.ejected(group.group):
            return None
        share = self._slot_share * self._outliers.weight(group.group)
        slots = max(1, int(group.slots * share))
        in_use = self._grants.uses.of_group(group.group)
        return _Room(group, slots, in_use) if in_use < slots else None
