"""Requests that reach groups through the dispatchers of cells."""

from __future__ import annotations

import functools
import itertools
from collections.abc import Mapping

from attrs import evolve, frozen

from cowslipstep.model import (
    Address,
    Ask,
    Cell,
    Grant,
    Refusal,
    Release,
    Renewal,
)
from cowslipstep.replay._attempts import (
    MODEL,
    AskedCells,
    Attempt,
    make_request,
)
from cowslipstep.replay._baselines import FifoDispatcher
from cowslipstep.replay._engines import Engine
from cowslipstep.replay._fleet import FleetModel
from cowslipstep.replay._outcomes import Outcome
from cowslipstep.replay._spec import TraceSpec
from cowslipstep.replay._timeline import Timeline
from cowslipstep.routing import (
    CellPolicy,
    CellChoice,
    Dispatcher,
    GroupSlots,
)

_PERIOD_S = 0.1
_RENEWAL_PERIOD_S = 4
_ADDRESS = Address('127.0.0.1', 1)


@frozen
class _CellModel:
    """A cell's dispatcher and groups."""

    dispatcher: Dispatcher | FifoDispatcher
    groups: tuple[GroupSlots, ...]


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
        self._policy = CellPolicy(tuple(spec.ranks))
        make = FifoDispatcher if fifo else Dispatcher
        self._cells = {
            Cell(MODEL, domain): _CellModel(
                make(timeline.clock),
                _cell_groups(domain, fleet),
            )
            for domain in fleet.failure_domains
        }
        domains = fleet.failure_domains
        self._entries = [
            CellChoice(timeline.clock, domains[index % len(domains)])
            for index in range(fleet.daemons)
        ]
        self._engines = {
            group.group: Engine(timeline, fleet)
            for cell in self._cells.values()
            for group in cell.groups
        }

    def start(self, end_s: float) -> None:
        """Bring the dispatchers up to date until ``end_s``."""
        for cell in self._cells.values():
            cell.dispatcher.update(self._policy, cell.groups)
        if self._timeline.clock() < end_s:
            next_s = self._timeline.clock() + _PERIOD_S
            self._timeline.at(next_s, functools.partial(self.start, end_s))

    def arrive(self, outcome: Outcome, daemon: int) -> None:
        """Ask the cells for a slot, the daemon's own one first."""
        entry = self._entries[daemon]
        request = make_request(f'r{next(self._numbers)}', outcome)
        tries = entry.tries(self._cells, request)
        self._ask(Attempt(request, outcome, tries, entry))

    def _ask(self, attempt: Attempt) -> None:
        chosen = next(attempt.tries, None)
        left_s = attempt.expires_s - self._timeline.clock()
        if chosen is None or left_s <= 0:
            attempt.outcome.ended_s = self._timeline.clock()
            attempt.entry.note_refusal(attempt.request)
            return
        request = evolve(attempt.request, timeout_s=left_s)
        asked = AskedCells(set(chosen.cells))
        for cell in chosen.cells:
            if not asked.granted:
                self._submit(
                    attempt,
                    asked,
                    Ask(cell, request, immediate=chosen.immediate),
                )

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
        match answer:
            case Grant(group=group):
                _withdraw(self._cells, asked, ask.request.request_id)
                waited_s = self._timeline.clock() - attempt.arrival_s
                attempt.entry.note_wait(ask.cell, ask.request.rank, waited_s)
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
    cells: Mapping[Cell, _CellModel],
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


def _cell_groups(domain: str, fleet: FleetModel) -> tuple[GroupSlots, ...]:
    return tuple(
        GroupSlots(f'{domain}{index}', _ADDRESS, fleet.slots, float('inf'))
        for index in range(fleet.groups_per_cell)
    )
