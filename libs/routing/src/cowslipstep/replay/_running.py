"""Requests that run on modelled engines, and the renewal of their grants."""

from __future__ import annotations

import functools
from collections.abc import Mapping, Sequence

from cowslipstep.model import Cell, Rank
from cowslipstep.replay._cell_models import CellModel
from cowslipstep.replay._engines import Engine
from cowslipstep.replay._fleet import FleetModel
from cowslipstep.replay._held_grants import HeldGrant, release, renew
from cowslipstep.replay._timeline import Timeline
from cowslipstep.routing import PrefixMap

CHECK_PERIOD_S = 0.25
_RENEWAL_PERIOD_S = 2


class GrantRunner:
    """Runs granted requests.

    Parameters
    ----------
    timeline
        Time of the replay.
    fleet
        The fleet.
    cells
        Its cells.
    ranks
        Ranks, the most urgent first.
    """

    def __init__(
        self,
        timeline: Timeline,
        fleet: FleetModel,
        cells: Mapping[Cell, CellModel],
        ranks: Sequence[Rank],
    ) -> None:
        self._timeline = timeline
        self._fleet = fleet
        self._cells = cells
        self._ranks = [rank.name for rank in ranks]
        self._engines = {
            group.group: Engine(timeline, fleet)
            for cell in cells.values()
            for group in cell.groups
        }
        if fleet.reads_events:
            for cell in cells.values():
                cell.owners.learn_prefixes = functools.partial(
                    self._learn_prefixes,
                    cell,
                )

    def begin(self, held: HeldGrant) -> None:
        """Run a request that was granted a slot, and renew its grant."""
        attempt = held.attempt
        attempt.outcome.granted_s = self._timeline.clock()
        waited_s = attempt.outcome.granted_s - attempt.arrival_s
        rank = attempt.request.rank
        attempt.entry.choice.record_wait(held.ask.cell, rank, waited_s)
        priority = self._ranks.index(rank)
        self._engines[held.group].start(
            attempt.outcome,
            lambda _: release(held),
            priority if self._fleet.engine_priorities else 0,
        )
        self._renew(held)

    def _renew(self, held: HeldGrant) -> None:
        if held.attempt.outcome.ran:
            return
        owners = self._cells[held.ask.cell].owners
        renew(held, held.attempt.entry.owner(held.ask.cell, owners))
        next_s = min(
            self._timeline.clock() + _RENEWAL_PERIOD_S,
            owners.next_change_s() + CHECK_PERIOD_S,
        )
        self._timeline.at(next_s, functools.partial(self._renew, held))

    def _learn_prefixes(self, cell: CellModel, prefixes: PrefixMap) -> None:
        now = self._timeline.clock()
        for group in cell.groups:
            cache = self._engines[group.group].cache
            for prefix_hash in cache.published(now):
                prefixes.record_hint(prefix_hash, group.group)
