"""Cost of the control plane for each daemon as the fleet grows.

The daemons are processes on this machine.
"""

from __future__ import annotations

import time
from collections.abc import Iterator

from _figures import Figure
from _idle_fleet import idle_fleet
from _fleet_samples import resident_mb, sample_fleet
from attrs import define

_FLEET_SIZES = (1, 3, 9, 27, 81)
_SETTLE_S = 10
_MEASUREMENT_S = 20
_MAX_CPU_SHARE = 0.035
_MAX_PEER_BYTES_PER_S = 10_000
_MAX_MEMORY_GROWTH_MB = 32


@define
class DaemonCost:
    """Mean cost of a daemon of a fleet."""

    daemons: int
    cpu_share: float
    bytes_per_s: float
    resident_mb: float
    calls_per_s: float


def figures() -> Iterator[Figure]:
    """Yield the mean cost of a daemon for each size of fleet."""
    costs = [_measure(daemons) for daemons in _FLEET_SIZES]
    single_daemon = costs[0]
    for cost in costs:
        yield from _cost_figures(cost, single_daemon)


def _cost_figures(
    cost: DaemonCost, single_daemon: DaemonCost
) -> Iterator[Figure]:
    name = f'slopes.{cost.daemons}'
    yield Figure(
        f'{name}.control_cpu',
        cost.cpu_share,
        'cores',
        bound=_MAX_CPU_SHARE,
        baseline=single_daemon.cpu_share,
    )
    yield Figure(
        f'{name}.peer_traffic',
        cost.bytes_per_s,
        'bytes/s, sent or received',
        bound=_MAX_PEER_BYTES_PER_S,
        baseline=single_daemon.bytes_per_s,
    )
    yield Figure(
        f'{name}.memory_growth',
        cost.resident_mb - single_daemon.resident_mb,
        'MB above a daemon alone',
        bound=_MAX_MEMORY_GROWTH_MB,
        baseline=single_daemon.resident_mb,
    )
    yield Figure(
        f'{name}.platform_calls',
        cost.calls_per_s,
        'calls/s a daemon',
        baseline=single_daemon.calls_per_s,
    )


def _measure(daemons: int) -> DaemonCost:
    with idle_fleet(daemons) as fleet:
        time.sleep(_SETTLE_S)
        before = sample_fleet(fleet)
        time.sleep(_MEASUREMENT_S)
        after = sample_fleet(fleet)
        daemon_seconds = (after.at_s - before.at_s) * daemons
        return DaemonCost(
            daemons,
            (after.cpu_s - before.cpu_s) / daemon_seconds,
            (after.wire_bytes - before.wire_bytes) / daemon_seconds,
            resident_mb(fleet),
            (after.platform_calls - before.platform_calls) / daemon_seconds,
        )
