"""Asks of modelled entry daemons."""

from __future__ import annotations

import functools
import math
from collections.abc import Mapping

from cowslipstep.model import Cell, Grant, Refusal, Release, SlotRequest
from cowslipstep.replay._attempts import AskedCells, Attempt
from cowslipstep.replay._cell_models import CellModel
from cowslipstep.replay._fleet import FleetModel
from cowslipstep.replay._held_grants import HeldGrant
from cowslipstep.replay._owners import AnyDispatcher
from cowslipstep.replay._running import CHECK_PERIOD_S, GrantRunner
from cowslipstep.replay._timeline import Timeline


class AskRunner:
    """Asks cell after cell until one grants a slot.

    Parameters
    ----------
    timeline
        Time of the replay.
    fleet
        The fleet.
    cells
        Its cells.
    running
        Runs what was granted.
    """

    def __init__(
        self,
        timeline: Timeline,
        fleet: FleetModel,
        cells: Mapping[Cell, CellModel],
        running: GrantRunner,
    ) -> None:
        self._timeline = timeline
        self._fleet = fleet
        self._cells = cells
        self._running = running

    def ask(self, attempt: Attempt) -> None:
        """Ask the next cells of a request."""
        chosen = next(attempt.batches, None)
        left_s = attempt.expires_s - self._timeline.clock()
        if chosen is None or left_s <= 0:
            attempt.outcome.ended_s = self._timeline.clock()
            attempt.entry.choice.record_refusal(attempt.request)
            return
        asked = AskedCells()
        for cell in chosen.cells:
            asked.open[cell] = self._present(cell, attempt)
        for cell in chosen.cells:
            if not asked.granted:
                ask = attempt.ask(cell, left_s, immediate=chosen.immediate)
                self._submit(attempt, asked, ask)
        self._watch(attempt, asked)

    def _submit(
        self, attempt: Attempt, asked: AskedCells, ask: SlotRequest
    ) -> None:
        reply = functools.partial(self._answer, attempt, asked, ask)
        asked.open[ask.cell].submit(ask, reply)

    def _watch(self, attempt: Attempt, asked: AskedCells) -> None:
        """Look at the owners of open asks again when they have changed."""
        change_s = min(
            (self._cells[cell].owners.next_change_s() for cell in asked.open),
            default=math.inf,
        )
        if change_s < attempt.expires_s:
            move = functools.partial(self._move, attempt, asked)
            self._timeline.at(change_s + CHECK_PERIOD_S, move)

    def _move(self, attempt: Attempt, asked: AskedCells) -> None:
        """Take open asks from former owners to the present ones."""
        left_s = attempt.expires_s - self._timeline.clock()
        for cell, owner in tuple(asked.open.items()):
            present = self._present(cell, attempt)
            if present is not owner and cell in asked.open:
                owner.release(Release(cell, attempt.request.request_id, 0))
                asked.open[cell] = present
                self._submit(attempt, asked, attempt.ask(cell, left_s))
        self._watch(attempt, asked)

    def _present(self, cell: Cell, attempt: Attempt) -> AnyDispatcher:
        return attempt.entry.owner(cell, self._cells[cell].owners)

    def _answer(
        self,
        attempt: Attempt,
        asked: AskedCells,
        ask: SlotRequest,
        answer: Grant | Refusal,
    ) -> None:
        owner = asked.open.pop(ask.cell)
        if answer.usage is not None and self._fleet.passes_uses:
            attempt.entry.uses.record(ask.request.workspace, answer.usage)
        match answer:
            case Grant(group=group):
                _withdraw(asked, ask.request.request_id)
                self._running.begin(HeldGrant(attempt, ask, group, owner))
            case Refusal(verdict=verdict):
                attempt.outcome.code = verdict.reason.value
                if not asked.open and not asked.granted:
                    self.ask(attempt)


def _withdraw(asked: AskedCells, request_id: str) -> None:
    asked.granted = True
    while asked.open:
        cell, owner = asked.open.popitem()
        owner.release(Release(cell, request_id, 0))
