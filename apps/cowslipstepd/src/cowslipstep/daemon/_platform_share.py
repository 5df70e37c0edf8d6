"""Share of the platform's rate that one daemon may use."""

from __future__ import annotations

from cowslipstep.daemon._state import DaemonState
from cowslipstep.delivery import SHARD_COUNT, shard_role
from cowslipstep.platform import BudgetLimits, PlatformLimits
from cowslipstep.settings import DaemonSettings

_SHARD_CALLS_PER_S = 4
_LARGEST_SHARDS_PART = 0.5


def share_of_platform(
    settings: DaemonSettings,
    daemons: int,
    shards: int = 0,
) -> PlatformLimits:
    """Return the limits of one of ``daemons``, so that all keep the rate.

    Whoever writes a shard of the order ledger does so for all daemons: a
    part of the rate follows the shards and is not shared out evenly.
    """
    reads_per_s = _share(settings.platform_reads_per_s, daemons, shards)
    writes_per_s = _share(settings.platform_writes_per_s, daemons, shards)
    return PlatformLimits(
        _limits(reads_per_s, settings),
        _limits(writes_per_s, settings),
    )


def adjust_share(state: DaemonState) -> None:
    """Fit the limits to the known daemons and the shards written here."""
    daemons = len(state.membership.others) + 1
    shards = sum(map(state.owns, map(shard_role, range(SHARD_COUNT))))
    limits = share_of_platform(state.settings, daemons, shards)
    state.platform.change_limits(limits)


def _share(rate_per_s: float, daemons: int, shards: int) -> float:
    shard_per_s = min(
        _SHARD_CALLS_PER_S,
        rate_per_s * _LARGEST_SHARDS_PART / SHARD_COUNT,
    )
    rest_per_s = rate_per_s - shard_per_s * SHARD_COUNT
    return rest_per_s / daemons + shard_per_s * shards


def _limits(share_per_s: float, settings: DaemonSettings) -> BudgetLimits:
    largest_per_s = settings.platform_calls_per_s
    if largest_per_s == 0:
        return BudgetLimits(share_per_s)
    return BudgetLimits(min(share_per_s, largest_per_s))
