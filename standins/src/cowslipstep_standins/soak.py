"""Randomized soak: a local fleet under load and series of faults.

Real processes run on loopback; relays between them, signals and the faults
of the stand-ins disturb them from outside. While faults come and go the
promises are checked from what callers, engines, services and the platform
see; at the end all faults are lifted, and every daemon has to serve again.
"""

from __future__ import annotations

import contextlib
import json
import random
from typing import Annotated

import typer
from attrs import frozen

from cowslipstep_standins._background import background_load
from cowslipstep_standins._checker import Tally, tally
from cowslipstep_standins._fleet import LocalFleet, local_fleet
from cowslipstep_standins._fleet_watch import watched
from cowslipstep_standins._order_load import order_load
from cowslipstep_standins._plan import FleetShape
from cowslipstep_standins._soak_checks import (
    broken_by_daemons,
    broken_by_requests,
)
from cowslipstep_standins._soak_plan import Timed, draw_faults
from cowslipstep_standins._soak_run import DisturbedFleet

_SHAPE = FleetShape(
    daemons=3,
    failure_domains=('port-louis', 'ebene'),
    hosts_per_domain=4,
    services=2,
    relayed=True,
)


@frozen
class SoakReport:
    """What a soak saw.

    Attributes
    ----------
    seed
        Seed of the faults.
    counted
        Requests and what came of them.
    broken
        Promises that were broken, in words.
    faults
        The faults that were caused.
    """

    seed: int
    counted: Tally
    broken: tuple[str, ...]
    faults: tuple[Timed, ...]


def soak(seed: int, seconds: float) -> SoakReport:
    """Run a soak and return what it saw.

    Raises
    ------
    FleetError
        If the fleet does not serve before the faults, or after them.
    """
    with local_fleet(_SHAPE) as fleet:
        faults = draw_faults(fleet.plan, random.Random(seed), seconds)
        return _observe(fleet, tuple(faults), seed)


def _observe(  # noqa: WPS210
    fleet: LocalFleet,
    faults: tuple[Timed, ...],
    seed: int,
) -> SoakReport:
    disturbed = DisturbedFleet(fleet)
    with contextlib.ExitStack() as stack:
        load = stack.enter_context(background_load(fleet))
        orders = stack.enter_context(order_load(fleet))
        watch = stack.enter_context(watched(fleet))
        disturbed.run(faults)
        fleet.wait_serving()
    outcomes = (*load.outcomes, *orders.outcomes)
    counted = tally(outcomes, fleet)
    return SoakReport(
        seed,
        counted,
        (
            *broken_by_requests(counted, outcomes, disturbed),
            *broken_by_daemons(watch, disturbed),
        ),
        faults,
    )


def run(
    seed: Annotated[int, typer.Option(help='first seed')] = 1,
    seeds: Annotated[int, typer.Option(help='number of seeds')] = 1,
    seconds: Annotated[float, typer.Option(help='time of faults')] = 15,
) -> None:
    """Run soaks one after the other; exit with 1 if a promise is broken."""
    failed = False
    for number in range(seed, seed + seeds):
        report = soak(number, seconds)
        failed = failed or bool(report.broken)
        typer.echo(
            json.dumps(
                {
                    'seed': number,
                    'broken': report.broken,
                    'faults': len(report.faults),
                    'requests': report.counted.requests,
                    'answered': report.counted.answered,
                },
            ),
        )
    raise typer.Exit(int(failed))


if __name__ == '__main__':
    typer.run(run)
