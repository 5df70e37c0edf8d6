"""Requests that reach groups through the dispatchers of cells."""

from __future__ import annotations

import functools
import itertools
from collections.abc import Callable

from cowslipstep.replay._asking import AskRunner
from cowslipstep.replay._attempts import Attempt, make_request, open_entries
from cowslipstep.replay._cell_models import model_cells
from cowslipstep.replay._fleet import FleetModel
from cowslipstep.replay._outcomes import Outcome
from cowslipstep.replay._owners import CellOwners
from cowslipstep.replay._running import GrantRunner
from cowslipstep.replay._spec import TraceSpec
from cowslipstep.replay._timeline import Timeline

_PERIOD_S = 0.1


class CellRunner:
    """Runs a trace through the dispatchers of cells.

    Parameters
    ----------
    spec
        The trace.
    fleet
        The fleet.
    timeline
        Time of the replay.
    owners
        Makes the owners of a cell.
    """

    def __init__(
        self,
        spec: TraceSpec,
        fleet: FleetModel,
        timeline: Timeline,
        owners: Callable[[], CellOwners],
    ) -> None:
        self._numbers = itertools.count()
        self._timeline = timeline
        self._cells = model_cells(spec, fleet, owners)
        self._entries = open_entries(timeline.clock, fleet)
        running = GrantRunner(timeline, fleet, self._cells, spec.ranks)
        self._asks = AskRunner(timeline, fleet, self._cells, running)

    def start(self, end_s: float) -> None:
        """Bring the dispatchers up to date until ``end_s``."""
        for cell in self._cells.values():
            for owner in cell.owners.all:
                owner.update(cell.policy, cell.groups)
        if self._timeline.clock() < end_s:
            next_s = self._timeline.clock() + _PERIOD_S
            self._timeline.at(next_s, functools.partial(self.start, end_s))

    def arrive(self, outcome: Outcome, daemon: int) -> None:
        """Ask the cells for a slot, the daemon's own one first."""
        entry = self._entries[daemon]
        request = make_request(f'r{next(self._numbers)}', outcome)
        batches = entry.choice.batches(self._cells, request)
        self._asks.ask(Attempt(request, outcome, batches, entry))
