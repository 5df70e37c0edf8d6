"""Replays a trace and prints a JSON line for the outcome of each request."""

from __future__ import annotations

import pathlib
from typing import Annotated

import typer

from cowslipstep.replay import (
    DispatchPolicy,
    read_spec,
    replay,
    write_outcome,
)


def run(
    trace: Annotated[
        pathlib.Path, typer.Argument(help='JSON file that specifies the trace')
    ],
    policy: Annotated[DispatchPolicy, typer.Option(help='dispatch policy')] = (
        DispatchPolicy.dispatcher
    ),
) -> None:
    """Replay a trace and print the outcome of each request."""
    for outcome in replay(read_spec(trace), policy):
        typer.echo(write_outcome(outcome))


if __name__ == '__main__':
    typer.run(run)
