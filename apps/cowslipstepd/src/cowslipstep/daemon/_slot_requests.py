"""Slot requests that an entry daemon sends to the owners of cells."""

from __future__ import annotations

import contextlib
import time
from collections.abc import Iterator
from typing import Any

import eventlet
from attrs import define, evolve, field, frozen
from eventlet.event import Event

from cowslipstep.daemon._owner_calls import OwnerCalls
from cowslipstep.daemon._pending_owner_calls import OwnerChanged
from cowslipstep.daemon._usage_exchange import UsageExchange
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
class GrantFromOwner:
    """A grant, its cell and the name of the owner that issued it."""

    cell: Cell
    owner: str
    grant: Grant


@define
class _ParallelRequests:
    """Slot requests of one caller's request at several cells.

    The first grant is used; the other slot requests are withdrawn.
    """

    unanswered: int
    outcome: Event = field(factory=Event)
    outstanding: dict[tuple[str, Cell], SlotRequest] = field(factory=dict)

    def record_grant(self, granted: GrantFromOwner) -> None:
        """Use a grant unless the outcome is decided already.

        A later grant stays outstanding, so that it is withdrawn.
        """
        if not self.outcome.ready():
            self.outstanding.pop((granted.owner, granted.cell))
            self.outcome.send(granted)

    def record_refusal(self, verdict: NotRun) -> None:
        """Count the refusal of a cell; the last one decides the outcome."""
        self.unanswered -= 1
        if not (self.unanswered or self.outcome.ready()):
            self.outcome.send(verdict)


class SlotRequestSender:
    """Requests a slot at several cells, each through its owners.

    Parameters
    ----------
    calls
        Sends messages to the owners.
    """

    def __init__(self, calls: OwnerCalls) -> None:
        self._calls = calls
        self._usages = UsageExchange()

    def first_grant(
        self, slot_requests: list[SlotRequest]
    ) -> GrantFromOwner | NotRun:
        """Send all slot requests at once and return the first grant.

        Returns the refusal of the last cell if no cell grants a slot.
        """
        parallel = _ParallelRequests(len(slot_requests))
        with self._withdraw_at_exit(parallel), _kill_at_exit() as tasks:
            tasks.extend(
                eventlet.spawn(self._request, parallel, slot_request)
                for slot_request in slot_requests
            )
            return parallel.outcome.wait()

    def _request(
        self, parallel: _ParallelRequests, slot_request: SlotRequest
    ) -> None:
        expires_s = time.monotonic() + slot_request.request.timeout_s
        while not parallel.outcome.ready():
            remaining_s = max(0, expires_s - time.monotonic())
            request = evolve(slot_request.request, timeout_s=remaining_s)
            with contextlib.suppress(OwnerChanged):
                self._request_from_owners(
                    parallel, evolve(slot_request, request=request)
                )
                return
            self._withdraw(parallel, slot_request.cell)

    def _request_from_owners(
        self, parallel: _ParallelRequests, slot_request: SlotRequest
    ) -> None:
        for owner in self._calls.owners.candidates(slot_request.cell):
            parallel.outstanding[owner, slot_request.cell] = slot_request
            reply = self._calls.request_slot(
                owner, self._usages.attach(slot_request)
            )
            self._usages.record(slot_request, reply)
            match reply:
                case Grant() as grant:
                    parallel.record_grant(
                        GrantFromOwner(slot_request.cell, owner, grant)
                    )
                    return
                case Refusal(verdict=verdict):
                    parallel.outstanding.pop((owner, slot_request.cell))
                    parallel.record_refusal(verdict)
                    return
        parallel.record_refusal(NotRun(Reason.no_capacity, retry_after_s=1))

    @contextlib.contextmanager
    def _withdraw_at_exit(self, parallel: _ParallelRequests) -> Iterator[None]:
        try:
            yield
        finally:
            # Withdraw in tasks of their own: an owner may be unreachable,
            # which must not delay the request that got a grant.
            cells = {cell for _, cell in parallel.outstanding}
            for cell in cells:
                eventlet.spawn_n(self._withdraw, parallel, cell)

    def _withdraw(self, parallel: _ParallelRequests, cell: Cell) -> None:
        for target, slot_request in tuple(parallel.outstanding.items()):
            if target[1] == cell:
                parallel.outstanding.pop(target)
                release = Release(cell, slot_request.request.request_id, 0)
                self._calls.send(target[0], release)


@contextlib.contextmanager
def _kill_at_exit() -> Iterator[list[Any]]:
    tasks: list[Any] = []
    try:
        yield tasks
    finally:
        for task in tasks:
            task.kill()
