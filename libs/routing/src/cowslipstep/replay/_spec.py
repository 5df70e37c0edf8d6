"""Specification of a trace: seeded streams of requests, and the outcome."""

from __future__ import annotations

import json
import pathlib

import cattrs
from attrs import field, frozen

from cowslipstep.model import Rank, Workspace


@frozen
class Phase:
    """A stretch of time in which a stream runs.

    Parameters
    ----------
    start_s, end_s
        Seconds since the start of the trace.
    load
        Work that arrives, as a multiple of the fleet's capacity.
    """

    start_s: float
    end_s: float
    load: float


@frozen
class Stream:
    """Requests of one rank with arrivals at random.

    Parameters
    ----------
    rank
        Rank of the requests.
    workspaces
        Names, each with its part of the stream's requests.
    prompt_tokens, output_tokens
        Mean sizes; single requests have half to one and a half of it.
    timeout_s
        Time within which the first token must come.
    phases
        When the stream runs, and how much work it brings.
    model
        Model that is asked for.
    """

    rank: str
    workspaces: dict[str, float]
    prompt_tokens: int
    output_tokens: int
    timeout_s: float
    phases: list[Phase]
    model: str = 'drafting'


@frozen
class TraceSpec:
    """A trace and the outcome that is stated for it.

    Parameters
    ----------
    name
        Name of the trace.
    user
        Whose work it is.
    seed
        Seed of the generator.
    ranks
        Ranks, the most urgent first.
    flood
        When more arrives than the fleet can take, and how much.
    streams
        What arrives.
    outcomes
        Stated outcomes: bound by figure.
    workspaces
        Workspaces that have limits.
    """

    name: str
    user: str
    seed: int
    ranks: list[Rank]
    flood: Phase
    streams: list[Stream]
    outcomes: dict[str, float] = field(factory=dict)
    workspaces: list[Workspace] = field(factory=list)


def read_spec(path: pathlib.Path) -> TraceSpec:
    """Read a specification from a JSON file."""
    return cattrs.structure(json.loads(path.read_text()), TraceSpec)
