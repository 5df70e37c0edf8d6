"""Demonstration: a fleet on loopback that loses a member and a daemon."""

from __future__ import annotations

import signal
import sys
import threading
import time

import attrs
import typer

from cowslipstep_standins._checker import tally
from cowslipstep_standins._fleet import LocalFleet, local_fleet
from cowslipstep_standins._plan import FleetShape, workspace_key
from cowslipstep_standins.load import mixed_calls, send_all

_REQUESTS = 400
_CONCURRENCY = 12
_SEED = 20261204
_SHAPE = FleetShape(
    daemons=3,
    failure_domains=('port-louis', 'ebene', 'curepipe'),
    hosts_per_domain=4,
    services=2,
)


def run(
    keep: bool = typer.Option(False, '--serve', help='stay up'),
) -> None:
    """Run the demonstration, or serve until interrupted."""
    if keep:
        _serve()
        return
    with local_fleet(_SHAPE) as fleet:
        typer.echo(_describe(fleet))
        correct = _demonstrate(fleet)
    sys.exit(0 if correct else 1)


def _demonstrate(fleet: LocalFleet) -> bool:
    calls = mixed_calls(_REQUESTS, _SHAPE.workspaces, _SEED)
    daemons = [daemon.http for daemon in fleet.plan.daemons]
    third = _REQUESTS // 3
    outcomes = send_all(
        calls[:third],
        lambda index: daemons[index % len(daemons)],
        _CONCURRENCY,
    )
    _kill_member(fleet)
    outcomes += send_all(
        calls[third : 2 * third],
        lambda index: daemons[index % len(daemons)],
        _CONCURRENCY,
    )
    killed = fleet.plan.daemons[-1]
    typer.echo(f'killing daemon {killed.name}')
    fleet.daemon(killed.name).kill()
    outcomes += send_all(
        calls[2 * third :],
        lambda index: daemons[index % (len(daemons) - 1)],
        _CONCURRENCY,
    )
    counted = tally(outcomes, fleet)
    fields = ' '.join(
        f'{name}={count}'
        for name, count in attrs.asdict(counted).items()
        if name != 'false_not_run' or count
    )
    typer.echo(f'demo {"ok" if counted.correct else "FAILED"}: {fields}')
    return counted.correct


def _kill_member(fleet: LocalFleet) -> None:
    host = fleet.plan.hosts[1]
    typer.echo(f'killing member {host.name}')
    fleet.control(host.address, {'dead': True})


def _describe(fleet: LocalFleet) -> str:
    plan = fleet.plan
    return (
        f'{len(plan.daemons)} daemons, {len(plan.hosts)} engine hosts in '
        f'groups of {plan.shape.hosts_per_group}, '
        f'{len(plan.services)} plain-service runners'
    )


def _serve() -> None:
    shape = attrs.evolve(_SHAPE, http_port=8080)
    with local_fleet(shape) as fleet:
        key = workspace_key(shape.workspaces[0])
        typer.echo(_describe(fleet))
        typer.echo(
            'curl -N http://127.0.0.1:8080/v1/chat/completions '
            f"-H 'Authorization: Bearer {key}' "
            "-H 'Content-Type: application/json' "
            '-d \'{"model": "drafting", "stream": true, '
            '"messages": [{"role": "user", "content": "hello"}]}\'',
        )
        typer.echo(f'platform: {fleet.plan.platform}; Ctrl-C ends all')
        _wait_for_interrupt()


def _wait_for_interrupt() -> None:
    stop = threading.Event()
    signal.signal(signal.SIGTERM, lambda _number, _frame: stop.set())
    try:
        stop.wait()
    except KeyboardInterrupt:
        time.sleep(0)


def main() -> None:
    """Run the demonstration as a command."""
    typer.run(run)


if __name__ == '__main__':
    main()
