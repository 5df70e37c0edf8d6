"""Requests that reach groups through the dispatchers of cells."""

from __future__ import annotations

import functools
import itertools
from collections.abc import Mapping

from cowslipstep.model import (
    Ask,
    Cell,
    Grant,
    Refusal,
    Release,
    Renewal,
)
from cowslipstep.replay._attempts import (
    AskedCells,
    Attempt,
    make_request,
    open_entries,
)
from cowslipstep.replay._baselines import FifoDispatcher
from cowslipstep.replay._cell_models import CellModel, model_cells
from cowslipstep.replay._engines import Engine
from cowslipstep.replay._fleet import FleetModel
from cowslipstep.replay._outcomes import Outcome
from cowslipstep.replay._spec import TraceSpec
from cowslipstep.replay._timeline import Timeline
from cowslipstep.routing import Dispatcher

_PERIOD_S = 0.1
_RENEWAL_PERIOD_S = 4


class CellRunner:
    """Runs a trace through one dispatcher for each cell.

    Parameters
    ----------
    spec
        The trace.
    fleet
        The fleet.
    timeline
        Time of the replay.
    fifo
        Whether the dispatchers are the first-come, first-served ones.
    """

    def __init__(
        self,
        spec: TraceSpec,
        fleet: FleetModel,
        timeline: Timeline,
        *,
        fifo: bool,
    ) -> None:
        self._numbers = itertools.count()
        self._timeline = timeline
        self._fleet = fleet
        make = FifoDispatcher if fifo else Dispatcher
        self._cells = model_cells(spec, fleet, lambda: make(timeline.clock))
        self._entries = open_entries(timeline.clock, fleet)
        self._engines = {
            group.group: Engine(timeline, fleet)
            for cell in self._cells.values()
            for group in cell.groups
        }

    def start(self, end_s: float) -> None:
        """Bring the dispatchers up to date until ``end_s``."""
        for cell in self._cells.values():
            cell.dispatcher.update(cell.policy, cell.groups)
        if self._timeline.clock() < end_s:
            next_s = self._timeline.clock() + _PERIOD_S
            self._timeline.at(next_s, functools.partial(self.start, end_s))

    def arrive(self, outcome: Outcome, daemon: int) -> None:
        """Ask the cells for a slot, the daemon's own one first."""
        entry = self._entries[daemon]
        request = make_request(f'r{next(self._numbers)}', outcome)
        tries = entry.choice.tries(self._cells, request)
        self._ask(Attempt(request, outcome, tries, entry))

    def _ask(self, attempt: Attempt) -> None:
        chosen = next(attempt.tries, None)
        left_s = attempt.expires_s - self._timeline.clock()
        if chosen is None or left_s <= 0:
            attempt.outcome.ended_s = self._timeline.clock()
            attempt.entry.choice.note_refusal(attempt.request)
            return
        asked = AskedCells(set(chosen.cells))
        for cell in chosen.cells:
            if not asked.granted:
                ask = attempt.ask(cell, left_s, immediate=chosen.immediate)
                self._submit(attempt, asked, ask)

    def _submit(self, attempt: Attempt, asked: AskedCells, ask: Ask) -> None:
        reply = functools.partial(self._answer, attempt, asked, ask)
        self._cells[ask.cell].dispatcher.submit(ask, reply)

    def _answer(
        self,
        attempt: Attempt,
        asked: AskedCells,
        ask: Ask,
        answer: Grant | Refusal,
    ) -> None:
        asked.open.discard(ask.cell)
        if answer.use is not None and self._fleet.passes_uses:
            attempt.entry.uses.note(ask.request.workspace, answer.use)
        match answer:
            case Grant(group=group):
                _withdraw(self._cells, asked, ask.request.request_id)
                waited_s = self._timeline.clock() - attempt.arrival_s
                attempt.entry.choice.note_wait(
                    ask.cell, ask.request.rank, waited_s
                )
                dispatcher = self._cells[ask.cell].dispatcher
                finished = functools.partial(_release, dispatcher, ask)
                self._engines[group].start(attempt.outcome, finished)
                self._renew(ask, attempt.outcome)
            case Refusal(verdict=verdict):
                attempt.outcome.code = verdict.reason.value
                if not asked.open and not asked.granted:
                    self._ask(attempt)

    def _renew(self, ask: Ask, outcome: Outcome) -> None:
        if outcome.ran:
            return
        renewal = Renewal(ask.cell, ask.request.request_id, 0)
        dispatcher = self._cells[ask.cell].dispatcher
        if isinstance(dispatcher, Dispatcher):
            dispatcher.renew(renewal)
        next_s = self._timeline.clock() + _RENEWAL_PERIOD_S
        renew = functools.partial(self._renew, ask, outcome)
        self._timeline.at(next_s, renew)


def _withdraw(
    cells: Mapping[Cell, CellModel],
    asked: AskedCells,
    request_id: str,
) -> None:
    asked.granted = True
    for other in asked.open:
        release = Release(other, request_id, 0)
        cells[other].dispatcher.release(release)


def _release(
    dispatcher: Dispatcher | FifoDispatcher,
    ask: Ask,
    outcome: Outcome,
) -> None:
    tokens = outcome.arrival.output_tokens
    dispatcher.release(Release(ask.cell, ask.request.request_id, tokens))
