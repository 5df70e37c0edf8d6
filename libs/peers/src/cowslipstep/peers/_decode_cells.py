"""Decoding of cells and of what workspaces use of them."""

from __future__ import annotations

from typing import Any

from cowslipstep.model import Cell, CellUsage
from cowslipstep.peers._units import ms_to_seconds


def decode_cell(raw: Any) -> Cell:
    """Read a cell."""
    return Cell(raw.model, raw.failureDomain)


def decode_use(raw: Any) -> CellUsage:
    """Read what a workspace uses of a cell."""
    return CellUsage(
        decode_cell(raw.cell),
        raw.tokensPerS,
        raw.inProgress,
        ms_to_seconds(raw.ageMs),
    )


def decode_own_use(raw: Any) -> CellUsage | None:
    """Read the use in a reply, if there is one."""
    return decode_use(raw.use) if raw.use.cell.model else None
