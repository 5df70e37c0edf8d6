"""Baseline dispatch policies with which the dispatcher is compared."""

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

_LOAD_REFRESH_PERIOD_S = 0.5
_SAMPLED_GROUPS = 2


class FifoDispatcher:
    """Dispatcher of one cell that grants slots in order of arrival.

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
        """Replace the groups of the cell."""
        self._groups = tuple(groups)
        self._grant_waiting()

    def submit(
        self, slot_request: SlotRequest, reply: SlotReplyCallback
    ) -> None:
        """Queue a slot request; refuse an immediate one, which may not wait."""
        if slot_request.immediate:
            refusal = NotRun(Reason.no_capacity)
            reply(Refusal(slot_request.request.request_id, refusal))
            return
        expires_s = self._clock() + slot_request.request.timeout_s
        self._queue.append(QueuedSlotRequest(slot_request, reply, expires_s))
        self._grant_waiting()

    def release(self, release: Release) -> None:
        """End a grant or withdraw a queued slot request."""
        self._grants.remove(release.request_id)
        self._queue = collections.deque(
            queued
            for queued in self._queue
            if queued.request_id != release.request_id
        )
        self._grant_waiting()

    def _grant_waiting(self) -> None:
        while self._queue:
            group = self._least_loaded()
            if self._grants.slot_counts.of_group(group.group) >= group.slots:
                return
            queued = self._queue.popleft()
            if queued.expires_s <= self._clock():
                queued.refuse(Reason.deadline)
                continue
            self._grant(queued, group)

    def _least_loaded(self) -> GroupSlots:
        return min(
            self._groups,
            key=lambda group: self._grants.slot_counts.of_group(group.group),
        )

    def _grant(self, queued: QueuedSlotRequest, group: GroupSlots) -> None:
        name = group.group
        granted = GrantedRequest(queued.request_id, name, '', '', 0)
        self._grants.add(granted, 0)
        address = group.address
        grant = Grant(queued.request_id, name, address, GRANT_VALID_S)
        queued.reply(grant)


class PowerOfTwoChoices:
    """Sends each request directly to the less loaded of two random groups.

    Each daemon has loads of the groups that are up to 0.5 s old and adds the
    requests that it sent itself since. The engines queue requests by rank.

    Parameters
    ----------
    clock
        Clock of the replay.
    seed
        Seed of the random choice.
    """

    def __init__(self, clock: Clock, seed: int) -> None:
        self._clock = clock
        self._rng = random.Random(seed)
        self._loads_read_at_s = -_LOAD_REFRESH_PERIOD_S
        self._loads: collections.Counter[str] = collections.Counter()

    def choose(self, loads: dict[str, int]) -> str:
        """Return a group; ``loads`` is read once in each refresh period."""
        if self._clock() - self._loads_read_at_s >= _LOAD_REFRESH_PERIOD_S:
            self._loads_read_at_s = self._clock()
            self._loads = collections.Counter(loads)
        sampled = self._rng.sample(sorted(loads), _SAMPLED_GROUPS)
        chosen = min(sampled, key=lambda group: self._loads[group])
        self._loads[chosen] += 1
        return chosen
