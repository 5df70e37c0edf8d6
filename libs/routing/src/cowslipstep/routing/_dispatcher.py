"""Dispatcher of a cell: one queue, bound late to a group with room."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from attrs import define, frozen

from cowslipstep.model import (
    Address,
    Ask,
    Cell,
    Grant,
    NotRun,
    Reason,
    Refusal,
    Release,
    Renewal,
)

_GRANT_VALID_S = 10
_MAX_QUEUED = 10000

Clock = Callable[[], float]
Reply = Callable[[Grant | Refusal], None]


@frozen
class GroupSlots:
    """A group as the dispatcher sees it.

    Parameters
    ----------
    group
        Name of the group.
    address
        Address of its leading runner.
    slots
        Requests that it runs at once.
    ready_until_s
        Clock reading at which its readiness runs out.
    """

    group: str
    address: Address
    slots: int
    ready_until_s: float


@define
class _Queued:
    ask: Ask
    reply: Reply
    expires_s: float


@define
class _Granted:
    group: str
    expires_s: float


class Dispatcher:
    """Queues asks of one cell and grants slots.

    Parameters
    ----------
    cell
        The cell that is served.
    clock
        Monotonic clock, seconds.
    """

    def __init__(self, cell: Cell, clock: Clock) -> None:
        self._cell = cell
        self._clock = clock
        self._rank_order: tuple[str, ...] = ()
        self._groups: tuple[GroupSlots, ...] = ()
        self._queue: list[_Queued] = []
        self._granted: dict[str, _Granted] = {}

    @property
    def queued(self) -> int:
        """Number of asks that wait."""
        return len(self._queue)

    @property
    def outstanding(self) -> int:
        """Number of grants in use."""
        return len(self._granted)

    def update(
        self,
        rank_order: Iterable[str],
        groups: Iterable[GroupSlots],
    ) -> None:
        """Take over the ranks, first the most urgent, and the groups."""
        self._rank_order = tuple(rank_order)
        self._groups = tuple(groups)
        self._grant_waiting()

    def submit(self, ask: Ask, reply: Reply) -> None:
        """Queue an ask; ``reply`` is called once, now or later."""
        if ask.request.rank not in self._rank_order:
            _refuse(ask, reply, Reason.unknown_rank)
            return
        if len(self._queue) >= _MAX_QUEUED:
            _refuse(ask, reply, Reason.queue_full)
            return
        expires_s = self._clock() + ask.request.timeout_s
        self._queue.append(_Queued(ask, reply, expires_s))
        self._queue.sort(key=self._precedence)
        self._grant_waiting()

    def renew(self, renewal: Renewal) -> None:
        """Extend a grant."""
        granted = self._granted.get(renewal.request_id)
        if granted is not None:
            granted.expires_s = self._clock() + _GRANT_VALID_S

    def release(self, release: Release) -> None:
        """End a grant or withdraw a queued ask."""
        self._granted.pop(release.request_id, None)
        self._queue = [
            queued
            for queued in self._queue
            if queued.ask.request.request_id != release.request_id
        ]
        self._grant_waiting()

    def expire(self) -> None:
        """Take back grants and refuse asks whose time has run out."""
        now = self._clock()
        self._granted = {
            request_id: granted
            for request_id, granted in self._granted.items()
            if granted.expires_s > now
        }
        late = [queued for queued in self._queue if queued.expires_s <= now]
        self._queue = [
            queued for queued in self._queue if queued.expires_s > now
        ]
        for queued in late:
            _refuse(queued.ask, queued.reply, Reason.deadline)
        self._grant_waiting()

    def _precedence(self, queued: _Queued) -> int:
        return self._rank_order.index(queued.ask.request.rank)

    def _grant_waiting(self) -> None:
        for queued in tuple(self._queue):
            group = self._pick_group(queued.ask)
            if group is None:
                continue
            self._queue.remove(queued)
            self._grant(queued, group)

    def _pick_group(self, ask: Ask) -> GroupSlots | None:
        now = self._clock()
        usable = [
            group
            for group in self._groups
            if group.ready_until_s > now
            and group.group not in ask.avoid
            and self._in_use(group.group) < group.slots
        ]
        return min(
            usable,
            key=lambda group: self._in_use(group.group),
            default=None,
        )

    def _in_use(self, group: str) -> int:
        return sum(granted.group == group for granted in self._granted.values())

    def _grant(self, queued: _Queued, group: GroupSlots) -> None:
        request_id = queued.ask.request.request_id
        self._granted[request_id] = _Granted(
            group.group,
            self._clock() + _GRANT_VALID_S,
        )
        queued.reply(
            Grant(request_id, group.group, group.address, _GRANT_VALID_S),
        )


def _refuse(ask: Ask, reply: Reply, reason: Reason) -> None:
    reply(Refusal(ask.request.request_id, NotRun(reason, retry_after_s=1)))
