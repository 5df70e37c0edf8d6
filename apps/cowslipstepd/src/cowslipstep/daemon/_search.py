"""Search for a slot, cell by cell."""

from __future__ import annotations

import time

from attrs import evolve, frozen

from cowslipstep.daemon._asks import AskSender, Granted
from cowslipstep.daemon._cell_views import known_cells
from cowslipstep.daemon._state import DaemonState
from cowslipstep.metrics import CounterKey
from cowslipstep.model import NotRun, Reason, Request, SlotRequest
from cowslipstep.routing import CellBatch, CellChoice


@frozen
class Search:
    """A request that looks for a slot, and until when."""

    request: Request
    avoid: tuple[str, ...]
    expires_s: float

    @property
    def left_s(self) -> float:
        """Seconds until the answer must have begun."""
        return self.expires_s - time.monotonic()


class SlotFinder:
    """Finds a slot for a request, or the reason why there is none.

    Parameters
    ----------
    state
        State of the daemon.
    sender
        Asks at cells.
    """

    def __init__(self, state: DaemonState, sender: AskSender) -> None:
        self._state = state
        self._sender = sender
        self._choice = CellChoice(
            time.monotonic,
            state.settings.failure_domain,
        )

    def find(
        self,
        request: Request,
        avoid: tuple[str, ...],
    ) -> Granted | NotRun:
        """Ask the cells one after the other until one grants a slot."""
        expires_s = time.monotonic() + request.timeout_s
        found = self._ask(Search(request, avoid, expires_s))
        if isinstance(found, NotRun):
            self._choice.record_refusal(request)
            _count_refusal(request, found, self._state)
        return found

    def _ask(self, search: Search) -> Granted | NotRun:
        verdict = NotRun(Reason.no_capacity, retry_after_s=1)
        cells = known_cells(self._state)
        for chosen in self._choice.batches(cells, search.request):
            if search.left_s <= 0:
                break
            match self._sender.ask(_asks(search, chosen)):
                case Granted() as granted:
                    self._note_wait(search, granted)
                    return granted
                case NotRun() as refused:
                    verdict = refused
        return verdict

    def _note_wait(self, search: Search, granted: Granted) -> None:
        request = search.request
        waited_s = request.timeout_s - search.left_s
        self._choice.record_wait(granted.cell, request.rank, waited_s)


def _asks(search: Search, chosen: CellBatch) -> list[SlotRequest]:
    request = evolve(search.request, timeout_s=search.left_s)
    return [
        SlotRequest(cell, request, search.avoid, chosen.immediate)
        for cell in chosen.cells
    ]


def _count_refusal(
    request: Request,
    verdict: NotRun,
    state: DaemonState,
) -> None:
    labels = (('rank', request.rank), ('reason', verdict.reason.value))
    state.counters.add(CounterKey('shed', labels))
