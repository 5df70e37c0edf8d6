"""Specification of a trace: random streams of requests and stated bounds."""

from __future__ import annotations

import json
import pathlib

import cattrs
from attrs import field, frozen

from cowslipstep.model import Rank, Workspace


@frozen
class Phase:
    """A period in which a stream sends requests at one rate.

    Parameters
    ----------
    start_s, end_s
        Seconds since the start of the trace.
    load
        Offered load, as a multiple of the fleet's capacity.
    """

    start_s: float
    end_s: float
    load: float


@frozen
class Stream:
    """Requests of one rank that arrive as a Poisson process.

    Parameters
    ----------
    rank
        Rank of the requests.
    workspaces
        Relative share of the stream's requests by name of workspace.
    prompt_tokens, output_tokens
        Mean sizes; a request has 0.5 to 1.5 times the mean.
    timeout_s
        Time within which the first token must come.
    phases
        Periods and load of the stream.
    model
        Requested model.
    prefixes
        Number of shared prompt prefixes of each workspace; zero for none.
    """

    rank: str
    workspaces: dict[str, float]
    prompt_tokens: int
    output_tokens: int
    timeout_s: float
    phases: list[Phase]
    model: str = 'drafting'
    prefixes: int = 0


@frozen
class TraceSpec:
    """A trace and the bounds that are stated for its figures.

    Parameters
    ----------
    name
        Name of the trace.
    user
        User whose requests the trace models.
    seed
        Seed of the random arrivals.
    ranks
        Ranks, most urgent first.
    flood
        Period and load of the overload that the figures measure.
    streams
        Streams of requests.
    outcomes
        Stated bound of each figure, by its name.
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
