"""Expansion of a specification into single arrivals."""

from __future__ import annotations

import random
from collections.abc import Iterator

from attrs import frozen

from cowslipstep.replay._fleet import FleetModel
from cowslipstep.replay._spec import Phase, Stream, TraceSpec

_LEAST_SIZE = 0.5
_LARGEST_SIZE = 1.5


@frozen
class Arrival:
    """One request of a trace."""

    arrival_s: float
    workspace: str
    rank: str
    prompt_tokens: int
    output_tokens: int
    timeout_s: float
    model: str = 'drafting'


def expand(spec: TraceSpec, fleet: FleetModel) -> list[Arrival]:
    """Return the arrivals of a trace in order of time, the same each time.

    Examples
    --------
    >>> from cowslipstep.model import Rank
    >>> stream = Stream('normal', {'grid-a': 1}, 10, 10, 5, [Phase(0, 1, 1)])
    >>> ranks = [Rank('normal', 5)]
    >>> spec = TraceSpec('s', 'u', 1, ranks, Phase(0, 1, 1), [stream])
    >>> expand(spec, FleetModel()) == expand(spec, FleetModel())
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
    held_s = fleet.held_s(stream.prompt_tokens, stream.output_tokens)
    for phase in stream.phases:
        per_s = phase.load * fleet.slot_count / held_s
        for arrival_s in _times(phase, per_s, rng):
            yield _arrival(stream, arrival_s, rng)


def _times(phase: Phase, per_s: float, rng: random.Random) -> Iterator[float]:
    now_s = phase.start_s
    while per_s:
        now_s += rng.expovariate(per_s)
        if now_s >= phase.end_s:
            return
        yield now_s


def _arrival(stream: Stream, arrival_s: float, rng: random.Random) -> Arrival:
    names = list(stream.workspaces)
    workspace = rng.choices(names, list(stream.workspaces.values()))[0]
    return Arrival(
        arrival_s,
        workspace,
        stream.rank,
        _size(stream.prompt_tokens, rng),
        _size(stream.output_tokens, rng),
        stream.timeout_s,
        stream.model,
    )


def _size(mean: int, rng: random.Random) -> int:
    return max(1, int(mean * rng.uniform(_LEAST_SIZE, _LARGEST_SIZE)))
