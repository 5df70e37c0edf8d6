"""Limits on the requests that all daemons send to a cold runner."""

from cowslipstep.routing._cold_allowance import (
    COLD_START_HOLD_S,
    COLD_WINDOW_S,
    ColdAllowance,
    ColdLimit,
    KnownFleet,
    cold_share,
)
