"""Expansion of a specification into the arrivals of requests."""

from __future__ import annotations

import random
import zlib
from collections.abc import Iterator

from attrs import frozen

from cowslipstep.replay._fleet_model import FleetModel
from cowslipstep.replay._spec import Phase, Stream, TraceSpec

_MIN_SIZE_FACTOR = 0.5
_MAX_SIZE_FACTOR = 1.5


@frozen
class Arrival:
    """Arrival of one request of a trace."""

    arrival_s: float
    workspace: str
    rank: str
    prompt_tokens: int
    output_tokens: int
    timeout_s: float
    model: str = 'drafting'
    prefix_hash: int = 0


def expand_trace(spec: TraceSpec, fleet: FleetModel) -> list[Arrival]:
    """Return the arrivals of a trace in order of time; deterministic.

    Examples
    --------
    >>> from cowslipstep.model import Rank
    >>> stream = Stream('normal', {'grid-a': 1}, 10, 10, 5, [Phase(0, 1, 1)])
    >>> ranks = [Rank('normal', 5)]
    >>> spec = TraceSpec('s', 'u', 1, ranks, Phase(0, 1, 1), [stream])
    >>> fleet = FleetModel()
    >>> expand_trace(spec, fleet) == expand_trace(spec, fleet)
    True
    """
    arrivals = [
        arrival
        for index, stream in enumerate(spec.streams)
        for arrival in _expand_stream(
            stream,
            fleet,
            random.Random(f'{spec.seed}-{index}'),
        )
    ]
    return sorted(arrivals, key=lambda arrival: arrival.arrival_s)


def _expand_stream(
    stream: Stream,
    fleet: FleetModel,
    rng: random.Random,
) -> Iterator[Arrival]:
    service_time_s = fleet.service_time_s(
        stream.prompt_tokens, stream.output_tokens
    )
    for phase in stream.phases:
        arrivals_per_s = phase.load * fleet.slot_count / service_time_s
        for arrival_s in _arrival_times(phase, arrivals_per_s, rng):
            yield _random_arrival(stream, arrival_s, rng)


def _arrival_times(
    phase: Phase, arrivals_per_s: float, rng: random.Random
) -> Iterator[float]:
    now_s = phase.start_s
    while arrivals_per_s:
        now_s += rng.expovariate(arrivals_per_s)
        if now_s >= phase.end_s:
            return
        yield now_s


def _random_arrival(
    stream: Stream, arrival_s: float, rng: random.Random
) -> Arrival:
    workspaces = list(stream.workspaces)
    workspace = rng.choices(workspaces, list(stream.workspaces.values()))[0]
    return Arrival(
        arrival_s,
        workspace,
        stream.rank,
        _random_size(stream.prompt_tokens, rng),
        _random_size(stream.output_tokens, rng),
        stream.timeout_s,
        stream.model,
        _random_prefix_hash(workspace, stream.prefixes, rng),
    )


def _random_size(mean: int, rng: random.Random) -> int:
    return max(1, int(mean * rng.uniform(_MIN_SIZE_FACTOR, _MAX_SIZE_FACTOR)))


def _random_prefix_hash(
    workspace: str, prefixes: int, rng: random.Random
) -> int:
    """Return the hash of a Pareto-distributed prefix; zero for no prefix."""
    if not prefixes:
        return 0
    number = min(int(rng.paretovariate(1)), prefixes)
    return zlib.crc32(f'{workspace}/{number}'.encode()) + 1
