"""Asks for slots, sent to the owners of cells."""

from __future__ import annotations

import contextlib
import time
from collections.abc import Iterator
from typing import Any

import eventlet
from attrs import define, evolve, field, frozen
from eventlet.event import Event

from cowslipstep.daemon._owner_calls import OwnerCalls
from cowslipstep.daemon._owner_waits import OwnerChanged
from cowslipstep.daemon._use_exchange import UseExchange
from cowslipstep.model import (
    Cell,
    Grant,
    NotRun,
    Reason,
    Refusal,
    Release,
    SlotRequest,
)


@frozen
class Granted:
    """A grant, its cell and the owner that gave it."""

    cell: Cell
    owner: str
    grant: Grant


@define
class _Race:
    """Asks of one request at several cells; the first grant wins."""

    unanswered: int
    done: Event = field(factory=Event)
    open: dict[tuple[str, Cell], SlotRequest] = field(factory=dict)

    def win(self, granted: Granted) -> None:
        """Take a grant unless there is one."""
        if not self.done.ready():
            self.open.pop((granted.owner, granted.cell))
            self.done.send(granted)

    def lose(self, verdict: NotRun) -> None:
        """Note that a cell refused; the last refusal decides."""
        self.unanswered -= 1
        if not (self.unanswered or self.done.ready()):
            self.done.send(verdict)


class AskSender:
    """Asks for a slot at several cells, each through its owners.

    Parameters
    ----------
    calls
        Calls the owners.
    """

    def __init__(self, calls: OwnerCalls) -> None:
        self._calls = calls
        self._uses = UseExchange()

    def ask(self, asks: list[SlotRequest]) -> Granted | NotRun:
        """Ask at several cells at once and take the first grant."""
        race = _Race(len(asks))
        with self._withdrawn(race), _tasks_ended() as tasks:
            tasks.extend(eventlet.spawn(self._ask, race, ask) for ask in asks)
            return race.done.wait()

    def _ask(self, race: _Race, ask: SlotRequest) -> None:
        expires_s = time.monotonic() + ask.request.timeout_s
        while not race.done.ready():
            left_s = max(0, expires_s - time.monotonic())
            request = evolve(ask.request, timeout_s=left_s)
            with contextlib.suppress(OwnerChanged):
                self._ask_owners(race, evolve(ask, request=request))
                return
            self._withdraw(race, ask.cell)

    def _ask_owners(self, race: _Race, ask: SlotRequest) -> None:
        for owner in self._calls.owners.candidates(ask.cell):
            race.open[owner, ask.cell] = ask
            reply = self._calls.ask(owner, self._uses.inform(ask))
            self._uses.learn(ask, reply)
            match reply:
                case Grant() as grant:
                    race.win(Granted(ask.cell, owner, grant))
                    return
                case Refusal(verdict=verdict):
                    race.open.pop((owner, ask.cell))
                    race.lose(verdict)
                    return
        race.lose(NotRun(Reason.no_capacity, retry_after_s=1))

    @contextlib.contextmanager
    def _withdrawn(self, race: _Race) -> Iterator[None]:
        try:
            yield
        finally:
            # An owner may be gone; that must not delay the granted request.
            cells = {cell for _, cell in race.open}
            for cell in cells:
                eventlet.spawn_n(self._withdraw, race, cell)

    def _withdraw(self, race: _Race, cell: Cell) -> None:
        for place, ask in tuple(race.open.items()):
            if place[1] == cell:
                race.open.pop(place)
                release = Release(cell, ask.request.request_id, 0)
                self._calls.tell(place[0], release)


@contextlib.contextmanager
def _tasks_ended() -> Iterator[list[Any]]:
    tasks: list[Any] = []
    try:
        yield tasks
    finally:
        for task in tasks:
            task.kill()
