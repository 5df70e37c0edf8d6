"""Figures on goodput under overload and on recovery from it."""

from __future__ import annotations

from collections.abc import Iterable

from attrs import evolve

from cowslipstep.model import Rank
from cowslipstep.replay._outcomes import Outcome
from cowslipstep.replay._run import Run, p95_wait_s, started_in
from cowslipstep.replay._spec import Phase, Stream

_WINDOW_S = 20
_USUAL_FACTOR = 1.5
_NEVER_S = 60


def goodput_kept(run: Run) -> float:
    """Return the goodput in the flood, compared with that at capacity."""
    flood = run.spec.flood
    streams = [
        _scaled(stream, flood, 1 / flood.load) for stream in run.spec.streams
    ]
    single = run.replay(evolve(run.spec, streams=streams))
    return goodput(run.outcomes, flood) / goodput(single, flood)


def recovery_s(run: Run) -> float:
    """Return the seconds after the flood until waits are usual again.

    The p95 wait of each rank is then within the rank's target, or as before
    the flood; a refused request counts as one that waits for ever.
    """
    for delay_s in range(_NEVER_S):
        if all(_as_before(run, rank, delay_s) for rank in run.spec.ranks):
            return delay_s
    return _NEVER_S


def _as_before(run: Run, rank: Rank, delay_s: float) -> bool:
    flood = run.spec.flood
    before_s = _window_p95_s(run, rank.name, flood.start_s - _WINDOW_S)
    after_s = _window_p95_s(run, rank.name, flood.end_s + delay_s)
    usual_s = max(before_s * _USUAL_FACTOR, rank.target_first_token_s)
    return after_s <= usual_s


def _window_p95_s(run: Run, rank: str, start_s: float) -> float:
    return p95_wait_s(run.arrived(rank, start_s, start_s + _WINDOW_S))


def goodput(outcomes: Iterable[Outcome], phase: Phase) -> float:
    """Return the slot-seconds of requests begun in time."""
    return sum(
        outcome.ended_s - outcome.started_s
        for outcome in outcomes
        if outcome.in_time and started_in(outcome, phase)
    )


def _scaled(stream: Stream, flood: Phase, factor: float) -> Stream:
    phases = [
        evolve(phase, load=phase.load * factor)
        if phase.start_s == flood.start_s
        else phase
        for phase in stream.phases
    ]
    return evolve(stream, phases=phases)
