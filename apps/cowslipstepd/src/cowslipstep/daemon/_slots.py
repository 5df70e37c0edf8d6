"""Slots on groups, asked of the owners of cells."""

from __future__ import annotations

import contextlib
import time
from collections.abc import Iterator

import eventlet
from attrs import define, field

from cowslipstep.daemon._asks import AskSender
from cowslipstep.daemon._owner_calls import OwnerCalls
from cowslipstep.daemon._owner_waits import CHECK_PERIOD_S
from cowslipstep.daemon._slot_search import SlotFinder
from cowslipstep.daemon._state import DaemonState
from cowslipstep.daemon._tasks import start_task
from cowslipstep.model import Cell, Grant, NotRun, Release, Renewal, Request

_RENEWAL_PERIOD_S = 2


@define
class SlotUsage:
    """What a request has made of its slot, told to the dispatcher."""

    streamed_tokens: int = 0
    failed: bool = False


@define
class Slot:
    """A grant, the owner of the cell that gave it, and its use so far."""

    cell: Cell
    owner: str
    grant: Grant
    request: Request
    usage: SlotUsage = field(factory=SlotUsage)
    renewed_s: float = field(factory=time.monotonic)
    informed_owners: set[str] = field(factory=set)


class SlotService:
    """Asks the owners of cells for slots and renews them while in use.

    Parameters
    ----------
    state
        State of the daemon.
    calls
        Calls the owners of cells.
    """

    def __init__(self, state: DaemonState, calls: OwnerCalls) -> None:
        self._state = state
        self._calls = calls
        self._finder = SlotFinder(state, AskSender(calls))
        self._held: dict[str, Slot] = {}

    def start(self) -> None:
        """Start the tasks that renew slots and watch the owners."""
        start_task('slots', self._run)
        start_task('own share of slots', self._calls.run_local)

    @contextlib.contextmanager
    def hold_slot(
        self,
        request: Request,
        avoid: tuple[str, ...] = (),
    ) -> Iterator[Slot | NotRun]:
        """Hold a slot for a request, or learn why there is none.

        The slot is renewed until the end, however long the answer takes to
        begin.
        """
        found = self._finder.find(request, avoid)
        if isinstance(found, NotRun):
            yield found
            return
        held = Slot(found.cell, found.owner, found.grant, request)
        self._held[request.request_id] = held
        try:
            yield held
        finally:
            self._held.pop(request.request_id)
            self._tell(held, _release(held))

    def renew(self, held: Slot) -> None:
        """Extend the grant of a slot and report its use."""
        held.renewed_s = time.monotonic()
        self._tell(held, _renewal(held))

    def _run(self) -> None:
        while True:
            eventlet.sleep(CHECK_PERIOD_S)
            self._calls.check()
            oldest_s = time.monotonic() - _RENEWAL_PERIOD_S
            for held in tuple(self._held.values()):
                present = self._calls.owners.present(held.cell)
                if present != held.owner or held.renewed_s < oldest_s:
                    self._renew_if_held(held)

    def _renew_if_held(self, held: Slot) -> None:
        # Other tasks ran since the slots were listed.
        if held.request.request_id in self._held:
            self.renew(held)

    def _tell(self, held: Slot, message: Release | Renewal) -> None:
        # Each owner that ever knew of the grant must learn that it ended.
        informed_owners = {held.owner, *self._calls.owners.to_tell(held.cell)}
        held.informed_owners.update(informed_owners)
        held.owner = self._calls.owners.present(held.cell)
        if isinstance(message, Release):
            informed_owners = held.informed_owners
        self._calls.tell(held.owner, message)
        # A former owner may be gone; that must not delay the request.
        for former in informed_owners - {held.owner}:
            eventlet.spawn_n(self._calls.tell, former, message)


def _release(held: Slot) -> Release:
    return Release(
        held.cell,
        held.request.request_id,
        held.usage.streamed_tokens,
        held.usage.failed,
    )


def _renewal(held: Slot) -> Renewal:
    return Renewal(
        held.cell,
        held.request.request_id,
        held.usage.streamed_tokens,
        held.grant.group,
        held.request.workspace,
        held.request.rank,
        held.request.prompt_tokens,
    )
