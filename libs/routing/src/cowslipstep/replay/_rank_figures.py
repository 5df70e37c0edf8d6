"""Figures on what the ranks and workspaces keep in a flood."""

from __future__ import annotations

import collections

from attrs import evolve

from cowslipstep.replay._run import (
    Run,
    in_flood,
    in_time_share,
    p95_wait_s,
    started_in,
)
from cowslipstep.replay._statistics import jain_index, rank_shares

_WARM_UP_S = 10
_URGENT = 'urgent'
_NORMAL = 'normal'


def urgent_p95_wait_s(run: Run) -> float:
    """Return the p95 wait of urgent requests in the flood."""
    return p95_wait_s(in_flood(run, _URGENT))


def urgent_in_time(run: Run) -> float:
    """Return the share of urgent requests served in time in the flood."""
    return in_time_share(in_flood(run, _URGENT))


def normal_kept(run: Run) -> float:
    """Return the served share of normal work, compared with before."""
    flood = run.spec.flood
    before = run.arrived(_NORMAL, _WARM_UP_S, flood.start_s)
    during = run.arrived(_NORMAL, flood.start_s, flood.end_s)
    return in_time_share(during) / in_time_share(before)


def floor_kept(run: Run, rank: str) -> float:
    """Return a rank's share of the work in the flood, in floors."""
    flood = run.spec.flood
    shares = rank_shares(run.outcomes, flood.start_s, flood.end_s)
    floors = {entry.name: entry.floor_share for entry in run.spec.ranks}
    return shares.get(rank, 0) / floors[rank]


def small_p95_wait_ratio(run: Run) -> float:
    """Return the small workspaces' p95 wait, compared with them alone."""
    alone = evolve(run.spec, streams=run.spec.streams[:1])
    small = run.spec.streams[0].workspaces
    with_large = [
        outcome
        for outcome in in_flood(run, _NORMAL)
        if outcome.arrival.workspace in small
    ]
    quiet = Run(alone, run.replay(alone), run.replay)
    return p95_wait_s(with_large) / p95_wait_s(in_flood(quiet, _NORMAL))


def tokens_jain_index(run: Run) -> float:
    """Return Jain's index of the workspaces' tokens in the flood."""
    tokens: collections.Counter[str] = collections.Counter()
    for outcome in run.outcomes:
        if outcome.ran and started_in(outcome, run.spec.flood):
            tokens[outcome.arrival.workspace] += outcome.tokens
    return jain_index(list(tokens.values()))
