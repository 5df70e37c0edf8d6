"""Encoding of cells and of what workspaces use of them."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from cowslipstep.model import Cell, CellUsage, Grant, Refusal
from cowslipstep.peers._units import seconds_to_ms


def write_cell(builder: Any, cell: Cell) -> None:
    """Write a cell."""
    builder.model = cell.model
    builder.failureDomain = cell.failure_domain


def write_uses(builder: Any, uses: Iterable[CellUsage]) -> None:
    """Write a list of uses of cells."""
    for place, use in enumerate(uses):
        _write_use(builder[place], use)


def write_own_use(builder: Any, reply: Grant | Refusal) -> None:
    """Write the use in a reply, if there is one."""
    if reply.usage is not None:
        _write_use(builder.init('use'), reply.usage)


def _write_use(builder: Any, use: CellUsage) -> None:
    write_cell(builder.init('cell'), use.cell)
    builder.tokensPerS = round(use.tokens_per_s)
    builder.inProgress = use.in_progress
    builder.ageMs = seconds_to_ms(use.age_s)
