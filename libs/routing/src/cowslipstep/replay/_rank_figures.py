"""Service that ranks and workspaces receive during the flood."""

from __future__ import annotations

import collections

from attrs import evolve

from cowslipstep.replay._replayed_trace import (
    ReplayedTrace,
    flood_outcomes,
    in_time_share,
    p95_wait_s,
    started_in,
)
from cowslipstep.replay._statistics import jain_index, rank_shares

_WARM_UP_S = 10
_URGENT = 'urgent'
_NORMAL = 'normal'


def urgent_p95_wait_s(run: ReplayedTrace) -> float:
    """Return the p95 wait of urgent requests in the flood."""
    return p95_wait_s(flood_outcomes(run, _URGENT))


def urgent_in_time(run: ReplayedTrace) -> float:
    """Return the share of urgent requests in the flood that were in time."""
    return in_time_share(flood_outcomes(run, _URGENT))


def normal_in_time_ratio(run: ReplayedTrace) -> float:
    """Return the in-time share of normal requests, relative to that before.

    The first is that of the flood, the second that between the warm-up and
    the flood.
    """
    flood = run.spec.flood
    before = run.outcomes_of(_NORMAL, _WARM_UP_S, flood.start_s)
    during = run.outcomes_of(_NORMAL, flood.start_s, flood.end_s)
    return in_time_share(during) / in_time_share(before)


def share_to_floor_ratio(run: ReplayedTrace, rank: str) -> float:
    """Return a rank's share of the flood's tokens, divided by its floor."""
    flood = run.spec.flood
    shares = rank_shares(run.outcomes, flood.start_s, flood.end_s)
    floors = {entry.name: entry.floor_share for entry in run.spec.ranks}
    return shares.get(rank, 0) / floors[rank]


def small_p95_wait_ratio(run: ReplayedTrace) -> float:
    """Return the p95 wait of small workspaces, relative to a replay of these.

    Small workspaces are those of the first stream of the trace; the replay
    for comparison has only this stream.
    """
    small_spec = evolve(run.spec, streams=run.spec.streams[:1])
    small = run.spec.streams[0].workspaces
    small_outcomes = [
        outcome
        for outcome in flood_outcomes(run, _NORMAL)
        if outcome.arrival.workspace in small
    ]
    without_large = ReplayedTrace(
        small_spec, run.replay(small_spec), run.replay
    )
    return p95_wait_s(small_outcomes) / p95_wait_s(
        flood_outcomes(without_large, _NORMAL)
    )


def tokens_jain_index(run: ReplayedTrace) -> float:
    """Return Jain's index of the tokens of the workspaces in the flood."""
    tokens: collections.Counter[str] = collections.Counter()
    for outcome in run.outcomes:
        if outcome.completed and started_in(outcome, run.spec.flood):
            tokens[outcome.arrival.workspace] += outcome.tokens
    return jain_index(list(tokens.values()))
