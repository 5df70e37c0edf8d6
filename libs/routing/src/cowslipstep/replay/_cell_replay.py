"""Replay in which dispatchers of cells grant the slots of groups."""

from __future__ import annotations

import functools
import itertools
from collections.abc import Callable

from cowslipstep.replay._cell_models import model_cells
from cowslipstep.replay._cell_owners import CellOwners
from cowslipstep.replay._event_scheduler import EventScheduler
from cowslipstep.replay._fleet_model import FleetModel
from cowslipstep.replay._grant_execution import GrantExecutor
from cowslipstep.replay._outcomes import Outcome
from cowslipstep.replay._pending_requests import (
    PendingRequest,
    make_entry_daemons,
    make_request,
)
from cowslipstep.replay._slot_requester import SlotRequester
from cowslipstep.replay._spec import TraceSpec

_UPDATE_PERIOD_S = 0.1


class CellReplay:
    """Replays a trace through the dispatchers of cells.

    Parameters
    ----------
    spec
        The trace.
    fleet
        The modelled fleet.
    scheduler
        Scheduler of the replay's events.
    make_owners
        Factory of the owners of a cell.
    """

    def __init__(
        self,
        spec: TraceSpec,
        fleet: FleetModel,
        scheduler: EventScheduler,
        make_owners: Callable[[], CellOwners],
    ) -> None:
        self._request_numbers = itertools.count()
        self._scheduler = scheduler
        self._cells = model_cells(spec, fleet, make_owners)
        self._entry_daemons = make_entry_daemons(scheduler.clock, fleet)
        executor = GrantExecutor(scheduler, fleet, self._cells, spec.ranks)
        self._requester = SlotRequester(scheduler, fleet, self._cells, executor)

    def update_until(self, end_s: float) -> None:
        """Update the policies and groups of all dispatchers until ``end_s``."""
        for cell in self._cells.values():
            for owner in cell.owners.created:
                owner.update(cell.policy, cell.groups)
        if self._scheduler.clock() < end_s:
            next_s = self._scheduler.clock() + _UPDATE_PERIOD_S
            self._scheduler.schedule(
                next_s, functools.partial(self.update_until, end_s)
            )

    def handle_arrival(self, outcome: Outcome, daemon: int) -> None:
        """Request a slot from the cells, that of the daemon first."""
        entry = self._entry_daemons[daemon]
        request = make_request(f'r{next(self._request_numbers)}', outcome)
        batches = entry.choice.batches(self._cells, request)
        self._requester.request_slot(
            PendingRequest(request, outcome, batches, entry)
        )
