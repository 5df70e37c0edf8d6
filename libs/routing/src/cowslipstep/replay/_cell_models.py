"""Cells of a modelled fleet."""

from __future__ import annotations

import itertools
from collections.abc import Callable

from attrs import frozen

from cowslipstep.model import Address, Cell
from cowslipstep.replay._cell_owners import CellOwners
from cowslipstep.replay._fleet_model import FleetModel
from cowslipstep.replay._spec import TraceSpec
from cowslipstep.routing import (
    CellPolicy,
    CellSlots,
    GroupSlots,
    workspace_policies,
)

_ADDRESS = Address('127.0.0.1', 1)


@frozen
class CellModel:
    """A cell's owners, policy and groups."""

    owners: CellOwners
    policy: CellPolicy
    groups: tuple[GroupSlots, ...]


def model_cells(
    spec: TraceSpec,
    fleet: FleetModel,
    make_owners: Callable[[], CellOwners],
) -> dict[Cell, CellModel]:
    """Return the cells of all models.

    Each policy has the slots of all cells, because workspace limits span them.
    """
    pairs = itertools.product(fleet.models, fleet.failure_domains)
    cells = [Cell(model, domain) for model, domain in pairs]
    slots = dict.fromkeys(cells, fleet.groups_per_cell * fleet.slots)
    return {
        cell: CellModel(
            make_owners(),
            _cell_policy(spec, CellSlots(cell, slots)),
            _cell_groups(cell, fleet),
        )
        for cell in cells
    }


def _cell_policy(spec: TraceSpec, cells: CellSlots) -> CellPolicy:
    return CellPolicy(
        tuple(spec.ranks), workspace_policies(spec.workspaces), cells
    )


def _cell_groups(cell: Cell, fleet: FleetModel) -> tuple[GroupSlots, ...]:
    failed = cell.failure_domain in fleet.failed_domains
    ready_until_s = 0 if failed else float('inf')
    return tuple(
        GroupSlots(f'{cell}{index}', _ADDRESS, fleet.slots, ready_until_s)
        for index in range(fleet.groups_per_cell)
    )
