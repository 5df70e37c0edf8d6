"""Limits of one daemon's calls to the platform."""

from __future__ import annotations

from cowslipstep.daemon._state import DaemonState
from cowslipstep.delivery import SHARD_COUNT, shard_role
from cowslipstep.platform import BudgetLimits, PlatformLimits
from cowslipstep.settings import DaemonSettings

_MAX_CALLS_PER_SHARD_PER_S = 4
_MAX_RATE_SHARE_OF_SHARDS = 0.5


def platform_limits(
    settings: DaemonSettings,
    daemons: int,
    shards: int = 0,
) -> PlatformLimits:
    """Return the limits of one daemon in a fleet of ``daemons``.

    The limits of all daemons add up to the rate that the platform allows the
    fleet. Each shard of the order ledger is written by one daemon on behalf
    of all. A part of the rate is therefore set aside for shards; this daemon
    gets that of the ``shards`` that it writes. The rest is divided equally.
    """
    reads_per_s = _calls_per_s(settings.platform_reads_per_s, daemons, shards)
    writes_per_s = _calls_per_s(settings.platform_writes_per_s, daemons, shards)
    return PlatformLimits(
        _limits(reads_per_s, settings),
        _limits(writes_per_s, settings),
    )


def adjust_platform_limits(state: DaemonState) -> None:
    """Update the limits for the known daemons and the shards owned here."""
    daemons = len(state.membership.others) + 1
    shards = sum(map(state.owns, map(shard_role, range(SHARD_COUNT))))
    limits = platform_limits(state.settings, daemons, shards)
    state.platform.change_limits(limits)


def _calls_per_s(rate_per_s: float, daemons: int, shards: int) -> float:
    shard_per_s = min(
        _MAX_CALLS_PER_SHARD_PER_S,
        rate_per_s * _MAX_RATE_SHARE_OF_SHARDS / SHARD_COUNT,
    )
    rest_per_s = rate_per_s - shard_per_s * SHARD_COUNT
    return rest_per_s / daemons + shard_per_s * shards


def _limits(calls_per_s: float, settings: DaemonSettings) -> BudgetLimits:
    max_per_s = settings.platform_calls_per_s
    if max_per_s == 0:
        return BudgetLimits(calls_per_s)
    return BudgetLimits(min(calls_per_s, max_per_s))
