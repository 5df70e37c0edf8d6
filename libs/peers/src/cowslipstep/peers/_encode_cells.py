"""Encoding of cells and of their usage by workspaces."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from cowslipstep.model import Cell, CellUsage, Grant, Refusal
from cowslipstep.peers._units import seconds_to_ms


def write_cell(builder: Any, cell: Cell) -> None:
    """Write a cell."""
    builder.model = cell.model
    builder.failureDomain = cell.failure_domain


def write_usages(builder: Any, usages: Iterable[CellUsage]) -> None:
    """Write a list of usages of cells."""
    for index, usage in enumerate(usages):
        _write_usage(builder[index], usage)


def write_reply_usage(builder: Any, reply: Grant | Refusal) -> None:
    """Write the usage in a grant or refusal, if there is one."""
    if reply.usage is not None:
        _write_usage(builder.init('use'), reply.usage)


def _write_usage(builder: Any, usage: CellUsage) -> None:
    write_cell(builder.init('cell'), usage.cell)
    builder.tokensPerS = round(usage.tokens_per_s)
    builder.inProgress = usage.in_progress
    builder.ageMs = seconds_to_ms(usage.age_s)
