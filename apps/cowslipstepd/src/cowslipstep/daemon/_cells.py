"""Dispatchers of the cells that this daemon owns."""

from __future__ import annotations

import time

import eventlet

from cowslipstep.daemon._cell_views import cell_policy, group_slots
from cowslipstep.daemon._past_prefixes import read_past_prefixes
from cowslipstep.daemon._state import DaemonState
from cowslipstep.metrics import CounterKey
from cowslipstep.model import Ask, Cell, Release, Renewal
from cowslipstep.routing import (
    Dispatcher,
    DispatcherLoad,
    PrefixMap,
    ReplyToAsk,
)

_UPDATE_PERIOD_S = 0.1
_LEARNING_S = 1.5


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
        self._dispatchers: dict[Cell, Dispatcher] = {}

    def run(self) -> None:
        """Bring the dispatchers up to date until the task ends."""
        while True:
            for cell in tuple(self._dispatchers):
                self._update(cell)
                _show(cell, self._dispatchers[cell].load, self._state)
            eventlet.sleep(_UPDATE_PERIOD_S)

    def submit(self, ask: Ask, reply: ReplyToAsk) -> None:
        """Queue an ask at the dispatcher of its cell."""
        self._dispatcher(ask.cell).submit(ask, reply)

    def renew(self, renewal: Renewal) -> None:
        """Extend a grant."""
        self._dispatcher(renewal.cell).renew(renewal)

    def release(self, release: Release) -> None:
        """End a grant or withdraw an ask."""
        self._dispatcher(release.cell).release(release)

    def _dispatcher(self, cell: Cell) -> Dispatcher:
        if cell not in self._dispatchers:
            learning_s = _LEARNING_S if len(self._state.live_daemons) > 1 else 0
            prefixes = PrefixMap()
            self._dispatchers[cell] = Dispatcher(
                time.monotonic,
                learning_s,
                prefixes,
            )
            self._update(cell)
            if not self._local:
                eventlet.spawn_n(_learn_prefixes, cell, self._state, prefixes)
        return self._dispatchers[cell]

    def _update(self, cell: Cell) -> None:
        configuration = self._state.configuration
        if configuration is None:
            return
        sharing = len(self._state.live_daemons) if self._local else 1
        self._dispatchers[cell].update(
            cell_policy(cell, self._state, configuration, sharing),
            group_slots(cell, self._state, configuration, sharing),
        )


def _learn_prefixes(
    cell: Cell,
    state: DaemonState,
    prefixes: PrefixMap,
) -> None:
    configuration = state.configuration
    if configuration is not None:
        groups = group_slots(cell, state, configuration, sharing=1)
        read_past_prefixes(tuple(groups), prefixes)


def _show(cell: Cell, load: DispatcherLoad, state: DaemonState) -> None:
    labels = (('cell', str(cell)),)
    state.gauges.set(CounterKey('queued', labels), load.queued)
    state.gauges.set(CounterKey('outstanding', labels), load.outstanding)
