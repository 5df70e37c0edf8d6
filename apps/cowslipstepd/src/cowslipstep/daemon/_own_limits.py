"""Limits on callers, from the settings of the product's own daemon."""

from __future__ import annotations

from functools import partial

from cowslipstep.daemon._caller_memory import (
    CallerMemory,
    process_memory_bytes,
)
from cowslipstep.daemon._connection_limits import ConnectionLimits
from cowslipstep.daemon._part_limit import MAX_BODY_BYTES
from cowslipstep.memory import byte_limits, connections_within
from cowslipstep.settings import DaemonSettings


def caller_memory(settings: DaemonSettings) -> CallerMemory:
    """Return the budget for what callers make the process hold."""
    largest_bytes = settings.max_body_bytes + MAX_BODY_BYTES
    return CallerMemory(
        partial(byte_limits, _memory_bytes(settings), largest_bytes)
    )


def connection_limits(settings: DaemonSettings) -> ConnectionLimits:
    """Return the limits on the connections of callers."""
    defaults = ConnectionLimits()
    return ConnectionLimits(
        min(
            defaults.max_connections,
            connections_within(_memory_bytes(settings)),
        )
    )


def _memory_bytes(settings: DaemonSettings) -> int:
    available_bytes = process_memory_bytes()
    return min(settings.memory_bytes or available_bytes, available_bytes)
