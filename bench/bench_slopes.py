"""What control costs a daemon as the fleet grows, with real processes."""

from __future__ import annotations

import time
from collections.abc import Iterator

from _figures import Figure
from _idle_fleet import idle_fleet
from _samples import resident_mb, take_sample
from attrs import define

_FLEETS = (1, 3, 9, 27, 81)
_SETTLE_S = 10
_SAMPLE_S = 20
_MAX_CPU_SHARE = 0.035
_MAX_BYTES_PER_S = 10_000
_MAX_GROWTH_MB = 32


@define
class Cost:
    """What one daemon of a fleet costs, on average."""

    daemons: int
    cpu_share: float
    bytes_per_s: float
    resident_mb: float
    calls_per_s: float


def figures() -> Iterator[Figure]:
    """Yield the cost of a daemon for each size of fleet."""
    costs = [_measure(daemons) for daemons in _FLEETS]
    alone = costs[0]
    for cost in costs:
        yield from _figures_of(cost, alone)


def _figures_of(cost: Cost, alone: Cost) -> Iterator[Figure]:
    name = f'slopes.{cost.daemons}'
    yield Figure(
        f'{name}.control_cpu',
        cost.cpu_share,
        'cores',
        bound=_MAX_CPU_SHARE,
        baseline=alone.cpu_share,
    )
    yield Figure(
        f'{name}.peer_traffic',
        cost.bytes_per_s,
        'bytes/s, sent or received',
        bound=_MAX_BYTES_PER_S,
        baseline=alone.bytes_per_s,
    )
    yield Figure(
        f'{name}.memory_growth',
        cost.resident_mb - alone.resident_mb,
        'MB above a daemon alone',
        bound=_MAX_GROWTH_MB,
        baseline=alone.resident_mb,
    )
    yield Figure(
        f'{name}.platform_calls',
        cost.calls_per_s,
        'calls/s a daemon',
        baseline=alone.calls_per_s,
    )


def _measure(daemons: int) -> Cost:
    with idle_fleet(daemons) as fleet:
        time.sleep(_SETTLE_S)
        before = take_sample(fleet)
        time.sleep(_SAMPLE_S)
        after = take_sample(fleet)
        daemon_seconds = (after.at_s - before.at_s) * daemons
        return Cost(
            daemons,
            (after.cpu_s - before.cpu_s) / daemon_seconds,
            (after.wire_bytes - before.wire_bytes) / daemon_seconds,
            resident_mb(fleet),
            (after.platform_calls - before.platform_calls) / daemon_seconds,
        )
