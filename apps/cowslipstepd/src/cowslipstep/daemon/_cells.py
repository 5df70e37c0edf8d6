"""Dispatchers of the cells that this daemon owns."""

from __future__ import annotations

import time

import eventlet
from attrs import define

from cowslipstep.daemon._cell_views import cell_policy, group_slots
from cowslipstep.daemon._past_prefixes import PastPrefixes
from cowslipstep.daemon._state import DaemonState
from cowslipstep.metrics import CounterKey
from cowslipstep.model import Cell, Release, Renewal, SlotRequest
from cowslipstep.routing import (
    Dispatcher,
    DispatcherLoad,
    PrefixMap,
    SlotReplyCallback,
)

_UPDATE_PERIOD_S = 0.1
_LEARNING_S = 1.5


@define(frozen=True)
class _ServedCell:
    """Dispatcher of a cell, and the reading of what its groups cached."""

    dispatcher: Dispatcher
    past: PastPrefixes


class CellService:
    """Serves asks of the own cells.

    Parameters
    ----------
    state
        State of the daemon.
    local
        Whether only this daemon asks: it uses its share of the slots then.
    """

    def __init__(self, state: DaemonState, *, local: bool = False) -> None:
        self._state = state
        self._local = local
        self._served: dict[Cell, _ServedCell] = {}

    def run(self) -> None:
        """Bring the dispatchers up to date until the task ends."""
        while True:
            for cell, served in tuple(self._served.items()):
                self._update(cell)
                _show(cell, served.dispatcher.load, self._state)
            eventlet.sleep(_UPDATE_PERIOD_S)

    def submit(self, ask: SlotRequest, reply: SlotReplyCallback) -> None:
        """Queue an ask at the dispatcher of its cell."""
        self._dispatcher(ask.cell).submit(ask, reply)

    def renew(self, renewal: Renewal) -> None:
        """Extend a grant."""
        self._dispatcher(renewal.cell).renew(renewal)

    def release(self, release: Release) -> None:
        """End a grant or withdraw an ask."""
        self._dispatcher(release.cell).release(release)

    def _dispatcher(self, cell: Cell) -> Dispatcher:
        if cell not in self._served:
            learning_s = _LEARNING_S if len(self._state.live_daemons) > 1 else 0
            prefixes = PrefixMap()
            self._served[cell] = _ServedCell(
                Dispatcher(time.monotonic, learning_s, prefixes),
                PastPrefixes(prefixes),
            )
            self._update(cell)
        return self._served[cell].dispatcher

    def _update(self, cell: Cell) -> None:
        configuration = self._state.configuration
        if configuration is None:
            return
        served = self._served[cell]
        sharing = len(self._state.live_daemons) if self._local else 1
        groups = tuple(group_slots(cell, self._state, configuration, sharing))
        served.dispatcher.update(
            cell_policy(cell, self._state, configuration, sharing),
            groups,
        )
        if not self._local:
            served.past.follow(groups, owned=self._state.owns(str(cell)))


def _show(cell: Cell, load: DispatcherLoad, state: DaemonState) -> None:
    labels = (('cell', str(cell)),)
    state.gauges.set(CounterKey('queued', labels), load.queued)
    state.gauges.set(CounterKey('outstanding', labels), load.outstanding)
