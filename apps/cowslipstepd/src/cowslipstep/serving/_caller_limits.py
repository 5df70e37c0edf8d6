"""Limits on callers, from the configuration in force and the settings."""

from __future__ import annotations

from cowslipstep.daemon._caller_memory import process_memory_bytes
from cowslipstep.daemon._connection_limits import ConnectionLimits
from cowslipstep.daemon._part_limit import MAX_BODY_BYTES
from cowslipstep.fleet import CallerLimits
from cowslipstep.memory import ByteLimits, byte_limits, connections_within
from cowslipstep.serving._state import ServingState

# Of each operators' listener; one more of them is closed at once.
_MAX_REFUSED_OPERATORS = 1


def caller_limits(state: ServingState) -> ConnectionLimits:
    """Return the limits on connections of callers at this moment."""
    budget = state.process.descriptors
    limits = _configured_limits(state)
    return ConnectionLimits(
        min(budget.callers, connections_within(_memory_bytes(state))),
        budget.spare,
        limits.idle_timeout_s,
        limits.head_timeout_s,
        limits.max_head_bytes,
    )


def held_limits(state: ServingState) -> ByteLimits:
    """Return the limits on what is held for callers at this moment."""
    largest_bytes = _configured_limits(state).max_body_bytes + MAX_BODY_BYTES
    return byte_limits(_memory_bytes(state), largest_bytes)


def _configured_limits(state: ServingState) -> CallerLimits:
    table = state.configuration.table
    return table.configuration.limits if table else CallerLimits()


def _memory_bytes(state: ServingState) -> float:
    return min(state.settings.memory_bytes, process_memory_bytes())


def operator_limits(state: ServingState) -> ConnectionLimits:
    """Return the limits on connections of the balancer and of scrapes."""
    return ConnectionLimits(
        state.process.descriptors.operators - _MAX_REFUSED_OPERATORS,
        _MAX_REFUSED_OPERATORS,
    )
