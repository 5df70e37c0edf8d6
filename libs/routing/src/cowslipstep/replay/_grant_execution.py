"""Execution of granted requests on modelled engines."""

from __future__ import annotations

import functools
from collections.abc import Mapping, Sequence

from cowslipstep.model import Cell, Rank
from cowslipstep.replay._cell_models import CellModel
from cowslipstep.replay._engines import Engine
from cowslipstep.replay._event_scheduler import EventScheduler
from cowslipstep.replay._fleet_model import FleetModel
from cowslipstep.replay._held_grants import HeldGrant, release, renew
from cowslipstep.routing import PrefixMap

OWNER_CHECK_DELAY_S = 0.25
_RENEWAL_PERIOD_S = 2


class GrantExecutor:
    """Runs granted requests on their groups and renews the grants.

    Parameters
    ----------
    scheduler
        Scheduler of the replay's events.
    fleet
        The modelled fleet.
    cells
        Its cells.
    ranks
        Ranks, most urgent first.
    """

    def __init__(
        self,
        scheduler: EventScheduler,
        fleet: FleetModel,
        cells: Mapping[Cell, CellModel],
        ranks: Sequence[Rank],
    ) -> None:
        self._scheduler = scheduler
        self._fleet = fleet
        self._cells = cells
        self._ranks = [rank.name for rank in ranks]
        self._engines = {
            group.group: Engine(scheduler, fleet)
            for cell in cells.values()
            for group in cell.groups
        }
        if fleet.reads_cache_events:
            for cell in cells.values():
                cell.owners.load_prefixes = functools.partial(
                    self._load_prefixes,
                    cell,
                )

    def begin(self, held: HeldGrant) -> None:
        """Run a granted request and renew its grant until it ends."""
        pending = held.pending
        pending.outcome.granted_s = self._scheduler.clock()
        waited_s = pending.outcome.granted_s - pending.arrival_s
        rank = pending.request.rank
        pending.entry.choice.record_wait(held.slot_request.cell, rank, waited_s)
        priority = self._ranks.index(rank)
        self._engines[held.group].start(
            pending.outcome,
            lambda _: release(held),
            priority if self._fleet.engine_priorities else 0,
        )
        self._renew(held)

    def _renew(self, held: HeldGrant) -> None:
        if held.pending.outcome.completed:
            return
        owners = self._cells[held.slot_request.cell].owners
        renew(
            held,
            held.pending.entry.current_owner(held.slot_request.cell, owners),
        )
        next_s = min(
            self._scheduler.clock() + _RENEWAL_PERIOD_S,
            owners.next_change_s() + OWNER_CHECK_DELAY_S,
        )
        self._scheduler.schedule(next_s, functools.partial(self._renew, held))

    def _load_prefixes(self, cell: CellModel, prefixes: PrefixMap) -> None:
        now_s = self._scheduler.clock()
        for group in cell.groups:
            cache = self._engines[group.group].cache
            for prefix_hash in cache.published_prefixes(now_s):
                prefixes.record_hint(prefix_hash, group.group)
