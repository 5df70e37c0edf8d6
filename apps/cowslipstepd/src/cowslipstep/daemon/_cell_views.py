"""Groups and limits of cells, from the configuration and the ledgers."""

from __future__ import annotations

import collections
from collections.abc import Iterable, Iterator

from cowslipstep.daemon._state import DaemonState
from cowslipstep.model import Address, Cell, Configuration, Group
from cowslipstep.routing import (
    CellPolicy,
    CellSlots,
    GroupSlots,
    workspace_policies,
)


def known_cells(state: DaemonState) -> tuple[Cell, ...]:
    """Return the cells that have groups, according to the ledgers."""
    return tuple(
        {Cell(group.model, group.failure_domain) for group in _groups(state)}
    )


def cell_policy(
    cell: Cell,
    state: DaemonState,
    configuration: Configuration,
    dispatchers: int,
) -> CellPolicy:
    """Return the configured ranks, workspace limits and slots of a cell.

    The limits are divided among the ``dispatchers`` that share the cell.
    """
    per_group = _slots_per_group(configuration)
    slots: collections.Counter[Cell] = collections.Counter({cell: 0})
    for group in _groups(state):
        group_cell = Cell(group.model, group.failure_domain)
        slots[group_cell] += per_group.get(group.model, 0)
    limits = workspace_policies(configuration.workspaces, dispatchers)
    return CellPolicy(configuration.ranks, limits, CellSlots(cell, slots))


def group_slots(
    cell: Cell,
    state: DaemonState,
    configuration: Configuration,
    dispatchers: int,
) -> Iterable[GroupSlots]:
    """Yield the groups of a cell.

    Each has its slots divided by ``dispatchers``, but at least one slot.
    """
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
                max(1, slots[group.model] // dispatchers),
                state.readiness.ready_until_s(group.name),
            )


def _groups(state: DaemonState) -> Iterator[Group]:
    for ledger in state.ledgers.values():
        yield from ledger.groups


def _slots_per_group(configuration: Configuration) -> dict[str, int]:
    return {model.name: model.slots_per_group for model in configuration.models}
