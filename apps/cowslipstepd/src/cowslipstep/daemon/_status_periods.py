"""Periods of status writes; the rate of the whole fleet is limited."""

from __future__ import annotations

from cowslipstep.daemon._state import DaemonState

_MAX_FLEET_WRITES_PER_S = 6
_MAX_FLEET_INDEX_WRITES_PER_S = 1


def status_period_s(state: DaemonState) -> float:
    """Return the time between writes of the status object, seconds."""
    fleet_limited_s = len(state.live_daemons) / _MAX_FLEET_WRITES_PER_S
    return max(state.settings.status_period_s, fleet_limited_s)


def index_period_s(state: DaemonState) -> float:
    """Return the time between writes of the index object, seconds."""
    fleet_limited_s = len(state.live_daemons) / _MAX_FLEET_INDEX_WRITES_PER_S
    return max(status_period_s(state), fleet_limited_s)
