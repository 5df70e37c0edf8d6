"""Slots on groups, requested from the owners of cells."""

from __future__ import annotations

import contextlib
import time
from collections.abc import Iterator

import eventlet
from attrs import define, field

from cowslipstep.daemon._slot_requests import SlotRequestSender
from cowslipstep.daemon._owner_calls import OwnerCalls
from cowslipstep.daemon._pending_owner_calls import OWNER_CHECK_PERIOD_S
from cowslipstep.daemon._slot_search import SlotFinder
from cowslipstep.daemon._state import DaemonState
from cowslipstep.daemon._tasks import start_task
from cowslipstep.model import Cell, Grant, NotRun, Release, Renewal, Request

_RENEWAL_PERIOD_S = 2


@define
class SlotUsage:
    """Usage of a slot by its request, reported to the dispatcher."""

    streamed_tokens: int = 0
    failed: bool = False


@define
class Slot:
    """A grant for a request, and its usage so far.

    ``owner`` is at first the owner that issued the grant, and after each
    renewal the present owner of the cell. ``renewed_at_s`` is the clock
    reading at which the grant was received or last renewed.
    ``informed_owners`` are all owners that were sent a message about it.
    """

    cell: Cell
    owner: str
    grant: Grant
    request: Request
    usage: SlotUsage = field(factory=SlotUsage)
    renewed_at_s: float = field(factory=time.monotonic)
    informed_owners: set[str] = field(factory=set)


class SlotService:
    """Requests slots from the owners of cells and renews them while in use.

    Parameters
    ----------
    state
        State of the daemon.
    calls
        Sends messages to the owners of cells.
    """

    def __init__(self, state: DaemonState, calls: OwnerCalls) -> None:
        self._state = state
        self._calls = calls
        self._finder = SlotFinder(state, SlotRequestSender(calls))
        self._held_slots: dict[str, Slot] = {}

    def start(self) -> None:
        """Start the tasks that renew slots and run the local dispatchers.

        The first one also ends calls to silent or former owners.
        """
        start_task('slots', self._renew_slots)
        start_task('own share of slots', self._calls.run_local_cells)

    @contextlib.contextmanager
    def hold_slot(
        self,
        request: Request,
        avoided_groups: tuple[str, ...] = (),
    ) -> Iterator[Slot | NotRun]:
        """Hold a slot for a request, or yield the reason why there is none.

        The slot is renewed until the end of the block, however long the
        response takes to begin.
        """
        found = self._finder.find(request, avoided_groups)
        if isinstance(found, NotRun):
            yield found
            return
        slot = Slot(found.cell, found.owner, found.grant, request)
        self._held_slots[request.request_id] = slot
        try:
            yield slot
        finally:
            self._held_slots.pop(request.request_id)
            self._send_to_owners(slot, _release(slot))

    def renew(self, slot: Slot) -> None:
        """Renew the grant of a slot and report its usage."""
        slot.renewed_at_s = time.monotonic()
        self._send_to_owners(slot, _renewal(slot))

    def _renew_slots(self) -> None:
        while True:
            eventlet.sleep(OWNER_CHECK_PERIOD_S)
            self._calls.check_pending()
            due_before_s = time.monotonic() - _RENEWAL_PERIOD_S
            for slot in tuple(self._held_slots.values()):
                current_owner = self._calls.owners.current_owner(slot.cell)
                if (
                    current_owner != slot.owner
                    or slot.renewed_at_s < due_before_s
                ):
                    self._renew_if_held(slot)

    def _renew_if_held(self, slot: Slot) -> None:
        # The slot may have been released since the slots were listed.
        if slot.request.request_id in self._held_slots:
            self.renew(slot)

    def _send_to_owners(self, slot: Slot, message: Release | Renewal) -> None:
        # The release goes to each owner that was sent a message about the
        # grant; without it, that owner would count the grant until it expires.
        recipients = {
            slot.owner,
            *self._calls.owners.renewal_recipients(slot.cell),
        }
        slot.informed_owners.update(recipients)
        slot.owner = self._calls.owners.current_owner(slot.cell)
        if isinstance(message, Release):
            recipients = slot.informed_owners
        self._calls.send(slot.owner, message)
        # Sent in other tasks: a former owner that is gone must not delay the
        # request.
        for former in recipients - {slot.owner}:
            eventlet.spawn_n(self._calls.send, former, message)


def _release(slot: Slot) -> Release:
    return Release(
        slot.cell,
        slot.request.request_id,
        slot.usage.streamed_tokens,
        slot.usage.failed,
    )


def _renewal(slot: Slot) -> Renewal:
    return Renewal(
        slot.cell,
        slot.request.request_id,
        slot.usage.streamed_tokens,
        slot.grant.group,
        slot.request.workspace,
        slot.request.rank,
        slot.request.prompt_tokens,
    )
