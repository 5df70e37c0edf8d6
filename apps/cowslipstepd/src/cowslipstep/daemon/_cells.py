"""Dispatchers of the cells that this daemon owns."""

from __future__ import annotations

import collections
import time
from collections.abc import Iterable, Iterator

import eventlet

from cowslipstep.daemon._state import DaemonState
from cowslipstep.metrics import CounterKey
from cowslipstep.model import (
    Address,
    Ask,
    Cell,
    Configuration,
    Group,
    Release,
    Renewal,
)
from cowslipstep.routing import (
    CellPolicy,
    CellSlots,
    Dispatcher,
    DispatcherLoad,
    GroupSlots,
    ReplyToAsk,
    read_limits,
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
            self._dispatchers[cell] = Dispatcher(time.monotonic, learning_s)
            self._update(cell)
        return self._dispatchers[cell]

    def _update(self, cell: Cell) -> None:
        configuration = self._state.configuration
        if configuration is None:
            return
        sharing = len(self._state.live_daemons) if self._local else 1
        self._dispatchers[cell].update(
            _policy(cell, self._state, configuration, sharing),
            _group_slots(cell, self._state, configuration, sharing),
        )


def known_cells(state: DaemonState) -> tuple[Cell, ...]:
    """Return the cells that have groups."""
    return tuple(
        {Cell(group.model, group.failure_domain) for group in _groups(state)}
    )


def _show(cell: Cell, load: DispatcherLoad, state: DaemonState) -> None:
    labels = (('cell', str(cell)),)
    state.gauges.set(CounterKey('queued', labels), load.queued)
    state.gauges.set(CounterKey('outstanding', labels), load.outstanding)


def _policy(
    cell: Cell,
    state: DaemonState,
    configuration: Configuration,
    sharing: int,
) -> CellPolicy:
    per_group = _slots_per_group(configuration)
    slots: collections.Counter[Cell] = collections.Counter({cell: 0})
    for group in _groups(state):
        own = Cell(group.model, group.failure_domain)
        slots[own] += per_group.get(group.model, 0)
    limits = read_limits(configuration.workspaces, sharing)
    return CellPolicy(configuration.ranks, limits, CellSlots(cell, slots))


def _groups(state: DaemonState) -> Iterator[Group]:
    for ledger in state.ledgers.values():
        yield from ledger.groups


def _slots_per_group(configuration: Configuration) -> dict[str, int]:
    return {model.name: model.slots_per_group for model in configuration.models}


def _group_slots(
    cell: Cell,
    state: DaemonState,
    configuration: Configuration,
    sharing: int,
) -> Iterable[GroupSlots]:
    slots = _slots_per_group(configuration)
    addresses: dict[str, Address] = {
        runner.host: runner.address for runner in configuration.runners
    }
    for group in _groups(state):
        if Cell(group.model, group.failure_domain) != cell:
            continue
        if group.leader in addresses and group.model in slots:
            yield GroupSlots(
                group.name,
                addresses[group.leader],
                max(1, slots[group.model] // sharing),
                state.readiness.ready_until_s(group.name),
            )
