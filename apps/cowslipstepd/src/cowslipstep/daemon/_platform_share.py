"""Share of the platform's rate that one daemon may use."""

from __future__ import annotations

from cowslipstep.daemon._state import DaemonState
from cowslipstep.platform import BudgetLimits, PlatformLimits
from cowslipstep.settings import DaemonSettings


def share_of_platform(
    settings: DaemonSettings,
    daemons: int,
) -> PlatformLimits:
    """Return the limits of one of ``daemons``, so that all keep the rate."""
    return PlatformLimits(
        _limits(settings.platform_reads_per_s / daemons, settings),
        _limits(settings.platform_writes_per_s / daemons, settings),
    )


def adjust_share(state: DaemonState) -> None:
    """Fit the limits to the number of known daemons."""
    daemons = len(state.membership.others) + 1
    state.platform.change_limits(share_of_platform(state.settings, daemons))


def _limits(share_per_s: float, settings: DaemonSettings) -> BudgetLimits:
    largest_per_s = settings.platform_calls_per_s
    if largest_per_s == 0:
        return BudgetLimits(share_per_s)
    return BudgetLimits(min(share_per_s, largest_per_s))
