"""Goodput under overload and the time to recover from it."""

from __future__ import annotations

from collections.abc import Iterable

from attrs import evolve

from cowslipstep.model import Rank
from cowslipstep.replay._outcomes import Outcome
from cowslipstep.replay._replayed_trace import (
    ReplayedTrace,
    p95_wait_s,
    started_in,
)
from cowslipstep.replay._spec import Phase, Stream

_WAIT_WINDOW_S = 20
_NORMAL_WAIT_FACTOR = 1.5
_MAX_RECOVERY_S = 60


def goodput_ratio(run: ReplayedTrace) -> float:
    """Return the goodput in the flood, relative to a flood at capacity.

    For the latter the trace is replayed with the load of the flood scaled
    down to the capacity of the fleet.
    """
    flood = run.spec.flood
    streams = [
        _scale_flood(stream, flood, 1 / flood.load)
        for stream in run.spec.streams
    ]
    at_capacity = run.replay(evolve(run.spec, streams=streams))
    return goodput(run.outcomes, flood) / goodput(at_capacity, flood)


def recovery_s(run: ReplayedTrace) -> float:
    """Return the seconds from the end of the flood until waits are normal.

    Waits are normal when the p95 wait of each rank in a window of 20 s is
    within the rank's target, or at most 1.5 times that before the flood. A
    refused request counts as an infinite wait. The largest figure is 60 s.
    """
    for delay_s in range(_MAX_RECOVERY_S):
        if all(_has_recovered(run, rank, delay_s) for rank in run.spec.ranks):
            return delay_s
    return _MAX_RECOVERY_S


def _has_recovered(run: ReplayedTrace, rank: Rank, delay_s: float) -> bool:
    flood = run.spec.flood
    before_s = _window_p95_s(run, rank.name, flood.start_s - _WAIT_WINDOW_S)
    after_s = _window_p95_s(run, rank.name, flood.end_s + delay_s)
    normal_s = max(before_s * _NORMAL_WAIT_FACTOR, rank.target_first_token_s)
    return after_s <= normal_s


def _window_p95_s(run: ReplayedTrace, rank: str, start_s: float) -> float:
    return p95_wait_s(run.outcomes_of(rank, start_s, start_s + _WAIT_WINDOW_S))


def goodput(outcomes: Iterable[Outcome], phase: Phase) -> float:
    """Return the slot-seconds of in-time requests started in a phase."""
    return sum(
        outcome.ended_s - outcome.started_s
        for outcome in outcomes
        if outcome.in_time and started_in(outcome, phase)
    )


def _scale_flood(stream: Stream, flood: Phase, factor: float) -> Stream:
    phases = [
        evolve(phase, load=phase.load * factor)
        if phase.start_s == flood.start_s
        else phase
        for phase in stream.phases
    ]
    return evolve(stream, phases=phases)
