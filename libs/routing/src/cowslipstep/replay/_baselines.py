"""Ways of dispatching without the mechanisms, to compare with."""

from __future__ import annotations

import collections
import random
from collections.abc import Iterable

from cowslipstep.model import (
    Grant,
    NotRun,
    Reason,
    Refusal,
    Release,
    SlotRequest,
)
from cowslipstep.routing import (
    CellPolicy,
    Clock,
    GroupSlots,
    PrefixMap,
    SlotReplyCallback,
)
from cowslipstep.routing._dispatcher_types import QueuedSlotRequest
from cowslipstep.routing._grant_table import (
    GRANT_VALID_S,
    GrantedRequest,
    GrantTable,
)

_LAG_S = 0.5
_CHOICES = 2


class FifoDispatcher:
    """One queue for each cell, first come, first served.

    Parameters
    ----------
    clock
        Clock of the replay.
    """

    def __init__(
        self,
        clock: Clock,
        _learning_s: float = 0,
        _prefixes: PrefixMap | None = None,
    ) -> None:
        self._clock = clock
        self._groups: tuple[GroupSlots, ...] = ()
        self._queue: collections.deque[QueuedSlotRequest] = collections.deque()
        self._grants = GrantTable(clock)

    def update(self, _policy: CellPolicy, groups: Iterable[GroupSlots]) -> None:
        """Take over the groups."""
        self._groups = tuple(groups)
        self._grant_waiting()

    def submit(self, ask: SlotRequest, reply: SlotReplyCallback) -> None:
        """Queue an ask."""
        if ask.immediate:
            refusal = NotRun(Reason.no_capacity)
            reply(Refusal(ask.request.request_id, refusal))
            return
        expires_s = self._clock() + ask.request.timeout_s
        self._queue.append(QueuedSlotRequest(ask, reply, expires_s))
        self._grant_waiting()

    def release(self, release: Release) -> None:
        """End a grant."""
        self._grants.remove(release.request_id)
        self._queue = collections.deque(
            queued
            for queued in self._queue
            if queued.request_id != release.request_id
        )
        self._grant_waiting()

    def _grant_waiting(self) -> None:
        while self._queue:
            group = self._emptiest()
            if self._grants.slot_counts.of_group(group.group) >= group.slots:
                return
            queued = self._queue.popleft()
            if queued.expires_s <= self._clock():
                queued.refuse(Reason.deadline)
                continue
            self._grant(queued, group)

    def _emptiest(self) -> GroupSlots:
        return min(
            self._groups,
            key=lambda group: self._grants.slot_counts.of_group(group.group),
        )

    def _grant(self, queued: QueuedSlotRequest, group: GroupSlots) -> None:
        name = group.group
        work = GrantedRequest(queued.request_id, name, '', '', 0)
        self._grants.add(work, 0)
        address = group.address
        grant = Grant(queued.request_id, name, address, GRANT_VALID_S)
        queued.reply(grant)


class ChoiceOfTwo:
    """Sends each request at once to the emptier of two random groups.

    Each daemon knows the groups' load from a while ago and what it sent
    itself; the engines queue by rank.

    Parameters
    ----------
    clock
        Clock of the replay.
    seed
        Seed of the choice.
    """

    def __init__(self, clock: Clock, seed: int) -> None:
        self._clock = clock
        self._rng = random.Random(seed)
        self._seen_s = -_LAG_S
        self._loads: collections.Counter[str] = collections.Counter()

    def choose(self, loads: dict[str, int]) -> str:
        """Return a group; ``loads`` is read only after the lag."""
        if self._clock() - self._seen_s >= _LAG_S:
            self._seen_s = self._clock()
            self._loads = collections.Counter(loads)
        pair = self._rng.sample(sorted(loads), _CHOICES)
        chosen = min(pair, key=lambda group: self._loads[group])
        self._loads[chosen] += 1
        return chosen
