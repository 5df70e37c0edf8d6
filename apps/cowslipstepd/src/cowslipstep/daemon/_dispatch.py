"""Dispatchers of the cells that this daemon owns, and asks to others."""

from __future__ import annotations

import contextlib
import time
from collections.abc import Iterator

import eventlet
from attrs import frozen
from eventlet.event import Event

from cowslipstep.daemon._state import DaemonState
from cowslipstep.model import (
    Address,
    Ask,
    Cell,
    Grant,
    Group,
    NotRun,
    Reason,
    Refusal,
    Release,
    Renewal,
    Request,
)
from cowslipstep.peers import PeerLink, PeerUnreachable, Reply
from cowslipstep.routing import (
    Dispatcher,
    GroupSlots,
    order_cells,
    rank_owners,
)

_UPDATE_PERIOD_S = 0.1
_REPLY_MARGIN_S = 0.5


@frozen
class Slot:
    """A grant and the owner of the cell that gave it."""

    cell: Cell
    owner: str
    grant: Grant


class DispatchService:
    """Asks the owners of cells for slots and serves the own cells.

    Parameters
    ----------
    state
        State of the daemon.
    """

    def __init__(self, state: DaemonState) -> None:
        self._state = state
        self._dispatchers: dict[Cell, Dispatcher] = {}
        self._links: dict[str, PeerLink] = {}

    def add_link(self, name: str, link: PeerLink) -> None:
        """Use a link for asks to the daemon ``name``."""
        self._links[name] = link

    def run(self) -> None:
        """Bring the own dispatchers up to date until the task ends."""
        while True:
            for dispatcher_cell in tuple(self._dispatchers):
                self._update(dispatcher_cell)
            eventlet.sleep(_UPDATE_PERIOD_S)

    @contextlib.contextmanager
    def slot(
        self,
        request: Request,
        avoid: tuple[str, ...] = (),
    ) -> Iterator[Slot | NotRun]:
        """Hold a slot for a request, or learn why there is none."""
        held = self._acquire(request, avoid)
        try:
            yield held
        finally:
            self._give_back(held)

    def submit(self, ask: Ask, reply: Reply) -> None:
        """Queue an ask at the dispatcher of its cell."""
        self._dispatcher(ask.cell).submit(ask, reply)

    def renew(self, renewal: Renewal) -> None:
        """Extend a grant of an own cell."""
        self._dispatcher(renewal.cell).renew(renewal)

    def release(self, release: Release) -> None:
        """End a grant of an own cell."""
        self._dispatcher(release.cell).release(release)

    def _acquire(
        self,
        request: Request,
        avoid: tuple[str, ...],
    ) -> Slot | NotRun:
        cells = order_cells(
            self._cells(),
            request.model,
            self._state.settings.failure_domain,
        )
        verdict = NotRun(Reason.no_capacity, retry_after_s=1)
        for cell in cells:
            owner = rank_owners(str(cell), self._state.live_daemons)[0]
            match self._ask(owner, Ask(cell, request, avoid)):
                case Grant() as grant:
                    return Slot(cell, owner, grant)
                case Refusal(verdict=verdict):
                    continue
        return verdict

    def _ask(self, owner: str, ask: Ask) -> Grant | Refusal:
        timeout_s = ask.request.timeout_s + _REPLY_MARGIN_S
        try:
            with self._withdrawn_on_error(owner, ask):
                reply = self._call_owner(owner, ask, timeout_s)
        except PeerUnreachable:
            reply = None
        match reply:
            case Grant() | Refusal():
                return reply
        verdict = NotRun(Reason.no_capacity, retry_after_s=1)
        return Refusal(ask.request.request_id, verdict)

    def _call_owner(self, owner: str, ask: Ask, timeout_s: float) -> object:
        if owner == self._state.settings.name:
            replied = Event()
            self.submit(ask, replied.send)
            return replied.wait()
        return self._links[owner].call(ask, timeout_s)

    @contextlib.contextmanager
    def _withdrawn_on_error(self, owner: str, ask: Ask) -> Iterator[None]:
        try:
            yield
        except BaseException:
            request_id = ask.request.request_id
            self._tell(owner, Release(ask.cell, request_id, 0))
            raise

    def _give_back(self, held: Slot | NotRun) -> None:
        match held:
            case Slot(cell, owner, grant):
                self._tell(owner, Release(cell, grant.request_id, 0))

    def _tell(self, owner: str, release: Release) -> None:
        if owner == self._state.settings.name:
            self.release(release)
            return
        with contextlib.suppress(PeerUnreachable):
            self._links[owner].tell(release)

    def _cells(self) -> set[Cell]:
        return {
            Cell(group.model, group.failure_domain)
            for ledger in self._state.ledgers.values()
            for group in ledger.groups
        }

    def _dispatcher(self, cell: Cell) -> Dispatcher:
        if cell not in self._dispatchers:
            self._dispatchers[cell] = Dispatcher(cell, time.monotonic)
            self._update(cell)
        return self._dispatchers[cell]

    def _update(self, cell: Cell) -> None:
        configuration = self._state.configuration
        if configuration is None:
            return
        slots = {
            model.name: model.slots_per_group for model in configuration.models
        }
        addresses = {
            runner.host: runner.address for runner in configuration.runners
        }
        self._dispatchers[cell].update(
            [rank.name for rank in configuration.ranks],
            [
                self._group_slots(group, slots, addresses)
                for group in self._groups_of(cell)
                if group.leader in addresses and group.model in slots
            ],
        )
        self._dispatchers[cell].expire()

    def _groups_of(self, cell: Cell) -> Iterator[Group]:
        for ledger in self._state.ledgers.values():
            for group in ledger.groups:
                if Cell(group.model, group.failure_domain) == cell:
                    yield group

    def _group_slots(
        self,
        group: Group,
        slots: dict[str, int],
        addresses: dict[str, Address],
    ) -> GroupSlots:
        return GroupSlots(
            group.name,
            addresses[group.leader],
            slots[group.model],
            self._state.readiness.ready_until_s(group.name),
        )
