"""Dispatchers of the cells that this daemon owns."""

from __future__ import annotations

import time

import eventlet
from attrs import define

from cowslipstep.daemon._cell_views import cell_policy, group_slots
from cowslipstep.daemon._cached_prefixes import CachedPrefixReader
from cowslipstep.daemon._state import DaemonState
from cowslipstep.metrics import CounterKey
from cowslipstep.model import Cell, Release, Renewal, SlotRequest
from cowslipstep.routing import (
    Dispatcher,
    DispatcherLoad,
    PrefixMap,
    SlotReplyCallback,
)

_DISPATCHER_UPDATE_PERIOD_S = 0.1
# For this long a new dispatcher holds slots back: renewals have yet to report
# which ones another dispatcher granted.
_LEARNING_MODE_S = 1.5


@define(frozen=True)
class _ServedCell:
    """Dispatcher of a cell and reader of the prefixes its engines cached."""

    dispatcher: Dispatcher
    prefix_reader: CachedPrefixReader


class CellService:
    """Serves slot requests for the cells that this daemon owns.

    Parameters
    ----------
    state
        State of the daemon.
    local
        Whether the dispatchers serve this daemon only, for the time when no
        owner of a cell can be reached. Each daemon then uses an equal share
        of the slots and limits.
    """

    def __init__(self, state: DaemonState, *, local: bool = False) -> None:
        self._state = state
        self._serves_only_self = local
        self._served: dict[Cell, _ServedCell] = {}

    def run(self) -> None:
        """Update the groups and limits of all dispatchers, forever."""
        while True:
            for cell, served in tuple(self._served.items()):
                self._update_dispatcher(cell)
                _set_gauges(cell, served.dispatcher.load, self._state)
            eventlet.sleep(_DISPATCHER_UPDATE_PERIOD_S)

    def submit(
        self, slot_request: SlotRequest, reply: SlotReplyCallback
    ) -> None:
        """Queue a slot request at the dispatcher of its cell."""
        self._dispatcher(slot_request.cell).submit(slot_request, reply)

    def renew(self, renewal: Renewal) -> None:
        """Extend a grant at the dispatcher of its cell.

        The dispatcher takes over a grant that another one issued.
        """
        self._dispatcher(renewal.cell).renew(renewal)

    def release(self, release: Release) -> None:
        """End a grant or withdraw a slot request."""
        self._dispatcher(release.cell).release(release)

    def _dispatcher(self, cell: Cell) -> Dispatcher:
        if cell not in self._served:
            learning_s = (
                _LEARNING_MODE_S if len(self._state.live_daemons) > 1 else 0
            )
            prefixes = PrefixMap()
            self._served[cell] = _ServedCell(
                Dispatcher(time.monotonic, learning_s, prefixes),
                CachedPrefixReader(prefixes),
            )
            self._update_dispatcher(cell)
        return self._served[cell].dispatcher

    def _update_dispatcher(self, cell: Cell) -> None:
        configuration = self._state.configuration
        if configuration is None:
            return
        served = self._served[cell]
        dispatchers = (
            len(self._state.live_daemons) if self._serves_only_self else 1
        )
        groups = tuple(
            group_slots(cell, self._state, configuration, dispatchers)
        )
        served.dispatcher.update(
            cell_policy(cell, self._state, configuration, dispatchers),
            groups,
        )
        if not self._serves_only_self:
            served.prefix_reader.read_new_groups(
                groups, owned=self._state.owns(str(cell))
            )


def _set_gauges(cell: Cell, load: DispatcherLoad, state: DaemonState) -> None:
    labels = (('cell', str(cell)),)
    state.gauges.set(CounterKey('queued', labels), load.queued)
    state.gauges.set(CounterKey('outstanding', labels), load.outstanding)
