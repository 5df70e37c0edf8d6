"""Runs the demonstration's fleet until interrupted."""

from __future__ import annotations

import contextlib
import signal
import threading

import typer

from cowslipstep_standins._fleet import LocalFleet, local_fleet
from cowslipstep_standins._plan import FleetShape, workspace_key

_CURL = """\
curl -N http://127.0.0.1:{port}/v1/chat/completions \\
  -H 'Authorization: Bearer {key}' -H 'Content-Type: application/json' \\
  -d '{{"model": "drafting", "stream": true,
       "messages": [{{"role": "user", "content": "hello"}}]}}'"""


def serve_until_interrupted(shape: FleetShape) -> None:
    """Run a fleet and print an example request to its first daemon.

    The request uses the port ``shape.http_port``.
    """
    with local_fleet(shape) as fleet:
        key = workspace_key(shape.workspaces[0])
        typer.echo(describe(fleet))
        typer.echo(_CURL.format(port=shape.http_port, key=key))
        platform = fleet.plan.platform
        typer.echo(f'export COWSLIPSTEP_PLATFORM={platform}')
        typer.echo('press Ctrl-C to stop the fleet')
        _wait_for_interrupt()


def _wait_for_interrupt() -> None:
    stop = threading.Event()
    signal.signal(signal.SIGTERM, lambda _number, _frame: stop.set())
    with contextlib.suppress(KeyboardInterrupt):
        stop.wait()


def describe(fleet: LocalFleet) -> str:
    """Return the sizes of a fleet in one line of text."""
    plan = fleet.plan
    sizes = (
        f'{len(plan.daemons)} daemons',
        f'{len(plan.hosts)} engine hosts',
        f'{plan.groups} groups',
        f'{len(plan.services)} plain-service runners',
    )
    return ', '.join(sizes)
