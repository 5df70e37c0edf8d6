"""Search for a slot in one batch of cells after the other."""

from __future__ import annotations

import time

from attrs import evolve, frozen

from cowslipstep.daemon._slot_requests import SlotRequestSender, GrantFromOwner
from cowslipstep.daemon._cell_views import known_cells
from cowslipstep.daemon._state import DaemonState
from cowslipstep.metrics import CounterKey
from cowslipstep.model import NotRun, Reason, Request, SlotRequest
from cowslipstep.routing import CellBatch, CellChoice


@frozen
class SlotSearch:
    """A search for a slot, and the time at which it expires."""

    request: Request
    avoided_groups: tuple[str, ...]
    expires_s: float

    @property
    def remaining_s(self) -> float:
        """Time until the response must begin, seconds."""
        return self.expires_s - time.monotonic()


class SlotFinder:
    """Finds slots for requests.

    Parameters
    ----------
    state
        State of the daemon.
    sender
        Sends slot requests to the dispatchers of cells.
    """

    def __init__(self, state: DaemonState, sender: SlotRequestSender) -> None:
        self._state = state
        self._sender = sender
        self._choice = CellChoice(
            time.monotonic,
            state.settings.failure_domain,
        )

    def find(
        self,
        request: Request,
        avoided_groups: tuple[str, ...],
    ) -> GrantFromOwner | NotRun:
        """Request a slot in batches of cells until one is granted.

        Returns the refusal of the last batch if none is granted.
        """
        expires_s = time.monotonic() + request.timeout_s
        found = self._search_cells(
            SlotSearch(request, avoided_groups, expires_s)
        )
        if isinstance(found, NotRun):
            self._choice.record_refusal(request)
            _count_refusal(request, found, self._state)
        return found

    def _search_cells(self, search: SlotSearch) -> GrantFromOwner | NotRun:
        verdict = NotRun(Reason.no_capacity, retry_after_s=1)
        cells = known_cells(self._state)
        for batch in self._choice.batches(cells, search.request):
            if search.remaining_s <= 0:
                break
            match self._sender.first_grant(_slot_requests(search, batch)):
                case GrantFromOwner() as granted:
                    self._record_wait(search, granted)
                    return granted
                case NotRun() as refused:
                    verdict = refused
        return verdict

    def _record_wait(self, search: SlotSearch, granted: GrantFromOwner) -> None:
        request = search.request
        waited_s = request.timeout_s - search.remaining_s
        self._choice.record_wait(granted.cell, request.rank, waited_s)


def _slot_requests(search: SlotSearch, batch: CellBatch) -> list[SlotRequest]:
    request = evolve(search.request, timeout_s=search.remaining_s)
    return [
        SlotRequest(cell, request, search.avoided_groups, batch.immediate)
        for cell in batch.cells
    ]


def _count_refusal(
    request: Request,
    verdict: NotRun,
    state: DaemonState,
) -> None:
    labels = (('rank', request.rank), ('reason', verdict.reason.value))
    state.counters.add(CounterKey('shed', labels))
