"""Decoding of cells and of their usage by workspaces."""

from __future__ import annotations

from typing import Any

from cowslipstep.model import Cell, CellUsage
from cowslipstep.peers._units import ms_to_seconds


def decode_cell(raw: Any) -> Cell:
    """Decode a cell."""
    return Cell(raw.model, raw.failureDomain)


def decode_usage(raw: Any) -> CellUsage:
    """Decode the usage of a cell by a workspace."""
    return CellUsage(
        decode_cell(raw.cell),
        raw.tokensPerS,
        raw.inProgress,
        ms_to_seconds(raw.ageMs),
    )


def decode_reply_usage(raw: Any) -> CellUsage | None:
    """Decode the usage in a grant or refusal; ``None`` if it has none.

    A usage without a model is one that the sender left out.
    """
    return decode_usage(raw.use) if raw.use.cell.model else None
