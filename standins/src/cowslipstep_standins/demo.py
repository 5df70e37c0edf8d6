"""Demonstration: a local fleet under load loses a host and a daemon."""

from __future__ import annotations

import sys
import time
from typing import Annotated

import attrs
import typer

from cowslipstep_standins._demo_server import describe, serve_until_interrupted
from cowslipstep_standins._fleet import LocalFleet, local_fleet
from cowslipstep_standins._invariants import count_outcomes, format_counts
from cowslipstep_standins._operator_tool import run_tool
from cowslipstep_standins._outcomes import Call, Outcome
from cowslipstep_standins._plan import FleetShape
from cowslipstep_standins.load import mixed_calls, round_robin, send_all

_REQUESTS = 400
_CONCURRENCY = 12
_SEED = 20261204
_REQUESTS_PER_PHASE = _REQUESTS // 3
_SERVE_PORT = 8080
_STATUS_WRITE_WAIT_S = 2.5
_SHAPE = FleetShape(
    daemons=3,
    failure_domains=('port-louis', 'ebene', 'curepipe'),
    hosts_per_domain=4,
    services=2,
)


def run(
    *,
    serve: Annotated[
        bool, typer.Option('--serve', help='run until interrupted')
    ] = False,
) -> None:
    """Run the demonstration, or serve until interrupted."""
    if serve:
        serve_until_interrupted(
            attrs.evolve(_SHAPE, http_port=_SERVE_PORT),
        )
        return
    with local_fleet(_SHAPE) as fleet:
        typer.echo(describe(fleet))
        correct = _demonstrate(fleet)
    sys.exit(0 if correct else 1)


def _demonstrate(fleet: LocalFleet) -> bool:
    calls = mixed_calls(_REQUESTS, _SHAPE.workspaces, _SEED)
    daemons = [daemon.http for daemon in fleet.plan.daemons]
    outcomes = _send(calls[:_REQUESTS_PER_PHASE], daemons)
    _kill_member(fleet)
    outcomes += _send(calls[_REQUESTS_PER_PHASE:-_REQUESTS_PER_PHASE], daemons)
    _kill_daemon(fleet)
    outcomes += _send(calls[-_REQUESTS_PER_PHASE:], daemons[:-1])
    time.sleep(_STATUS_WRITE_WAIT_S)
    report = run_tool(fleet.plan.platform, 'report')
    typer.echo(f'report: {report.first_line}')
    counts = count_outcomes(outcomes, fleet)
    typer.echo(format_counts(counts))
    return counts.correct


def _send(calls: list[Call], daemons: list[str]) -> list[Outcome]:
    return send_all(calls, round_robin(daemons), _CONCURRENCY)


def _kill_daemon(fleet: LocalFleet) -> None:
    killed = fleet.plan.daemons[-1]
    typer.echo(f'killing daemon {killed.name}')
    fleet.daemon(killed.name).kill()


def _kill_member(fleet: LocalFleet) -> None:
    host = fleet.plan.hosts[1]
    typer.echo(f'killing member {host.name}')
    fleet.control(host.address, {'dead': True})


def main() -> None:
    """Run the demonstration as a command."""
    typer.run(run)


if __name__ == '__main__':
    main()
