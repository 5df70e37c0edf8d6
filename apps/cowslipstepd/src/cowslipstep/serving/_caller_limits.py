"""Limits on connections, from the configuration in force and the settings."""

from __future__ import annotations

from cowslipstep.daemon._connection_limits import ConnectionLimits
from cowslipstep.fleet import CallerLimits
from cowslipstep.serving._state import ServingState

# Of each operators' listener; one more of them is closed at once.
_MAX_REFUSED_OPERATORS = 1


def caller_limits(state: ServingState) -> ConnectionLimits:
    """Return the limits on connections of callers at this moment."""
    budget = state.process.descriptors
    table = state.configuration.table
    limits = table.configuration.limits if table else CallerLimits()
    return ConnectionLimits(
        budget.callers,
        budget.spare,
        limits.idle_timeout_s,
        limits.head_timeout_s,
    )


def operator_limits(state: ServingState) -> ConnectionLimits:
    """Return the limits on connections of the balancer and of scrapes."""
    return ConnectionLimits(
        state.process.descriptors.operators - _MAX_REFUSED_OPERATORS,
        _MAX_REFUSED_OPERATORS,
    )
