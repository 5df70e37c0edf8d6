"""Randomized soak: a local fleet under load and overlapping faults.

Real processes run on loopback; signals, relays between the processes and the
faults of the stand-ins disturb them. The guarantees of the system are checked
from the outcomes of callers and the records of engines, services and the
platform. At the end all faults are removed, and each daemon has to serve
again.
"""

from __future__ import annotations

import contextlib
import json
import random
from typing import Annotated

import typer
from attrs import frozen

from cowslipstep_standins._background_load import background_load
from cowslipstep_standins._fault_injector import FaultInjector
from cowslipstep_standins._fleet import LocalFleet, local_fleet
from cowslipstep_standins._fleet_monitor import monitored
from cowslipstep_standins._invariants import OutcomeCounts, count_outcomes
from cowslipstep_standins._order_load import order_load
from cowslipstep_standins._plan import FleetShape
from cowslipstep_standins._soak_checks import (
    find_violations_in_fleet,
    find_violations_in_outcomes,
)
from cowslipstep_standins._soak_schedule import ScheduledFault, draw_schedule

_SHAPE = FleetShape(
    daemons=3,
    failure_domains=('port-louis', 'ebene'),
    hosts_per_domain=4,
    services=2,
    relayed=True,
)


@frozen
class SoakReport:
    """Result of a soak.

    Attributes
    ----------
    seed
        Seed of the fault schedule.
    counts
        Number of requests by outcome.
    violations
        Descriptions of the violated guarantees.
    faults
        Schedule of the injected faults.
    """

    seed: int
    counts: OutcomeCounts
    violations: tuple[str, ...]
    faults: tuple[ScheduledFault, ...]


def soak(seed: int, seconds: float) -> SoakReport:
    """Run a soak and return its result.

    Raises
    ------
    FleetError
        If the fleet does not serve before or after the faults.
    """
    with local_fleet(_SHAPE) as fleet:
        faults = draw_schedule(fleet.plan, random.Random(seed), seconds)
        return _observe(fleet, tuple(faults), seed)


def _observe(  # noqa: WPS210
    fleet: LocalFleet,
    faults: tuple[ScheduledFault, ...],
    seed: int,
) -> SoakReport:
    injector = FaultInjector(fleet)
    with contextlib.ExitStack() as stack:
        load = stack.enter_context(background_load(fleet))
        orders = stack.enter_context(order_load(fleet))
        monitor = stack.enter_context(monitored(fleet))
        injector.run(faults)
        fleet.wait_until_serving()
    outcomes = (*load.outcomes, *orders.outcomes)
    counts = count_outcomes(outcomes, fleet)
    return SoakReport(
        seed,
        counts,
        (
            *find_violations_in_outcomes(counts, outcomes, injector),
            *find_violations_in_fleet(monitor, injector),
        ),
        faults,
    )


def run(
    seed: Annotated[int, typer.Option(help='first seed')] = 1,
    seeds: Annotated[int, typer.Option(help='number of seeds')] = 1,
    seconds: Annotated[float, typer.Option(help='duration of the faults')] = 15,
) -> None:
    """Run soaks one after the other; exit with 1 on a violated guarantee."""
    failed = False
    for number in range(seed, seed + seeds):
        report = soak(number, seconds)
        failed = failed or bool(report.violations)
        typer.echo(
            json.dumps(
                {
                    'seed': number,
                    'broken': report.violations,
                    'faults': len(report.faults),
                    'requests': report.counts.requests,
                    'answered': report.counts.answered,
                },
            ),
        )
    raise typer.Exit(int(failed))


if __name__ == '__main__':
    typer.run(run)
