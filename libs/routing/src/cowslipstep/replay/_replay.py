"""Replay of a trace on a modelled fleet."""

from __future__ import annotations

import enum
import functools
import random
from collections.abc import Callable, Iterable

from cowslipstep.replay._baselines import FifoDispatcher
from cowslipstep.replay._cells import CellRunner
from cowslipstep.replay._direct import DirectRunner
from cowslipstep.replay._fleet import FleetModel
from cowslipstep.replay._outcomes import Outcome
from cowslipstep.replay._owners import (
    CellOwners,
    MakeDispatcher,
    OwnerSplit,
)
from cowslipstep.replay._spec import TraceSpec
from cowslipstep.replay._timeline import Timeline
from cowslipstep.replay._trace import expand
from cowslipstep.routing import Clock, Dispatcher

_DRAIN_S = 120
_TODAY = FleetModel()


class DispatchPolicy(enum.StrEnum):
    """How requests reach groups."""

    dispatcher = 'dispatcher'
    fifo = 'fifo'
    choice_of_two = 'choice_of_two'


def replay(
    spec: TraceSpec,
    policy: DispatchPolicy = DispatchPolicy.dispatcher,
    fleet: FleetModel = _TODAY,
    split: OwnerSplit | None = None,
) -> list[Outcome]:
    """Replay a trace and return the outcomes in order of arrival."""
    timeline = Timeline()
    runner = _make_runner(
        spec,
        fleet,
        timeline,
        _owners(policy, timeline.clock, split),
    )
    outcomes = list(map(Outcome, expand(spec, fleet)))
    daemons = random.Random(spec.seed).choices(
        range(fleet.daemons),
        fleet.entry_weights or None,
        k=len(outcomes),
    )
    _schedule(runner, timeline, zip(outcomes, daemons, strict=True))
    _run(runner, timeline, outcomes[-1].arrival.arrival_s + _DRAIN_S)
    return outcomes


def _run(
    runner: CellRunner | DirectRunner,
    timeline: Timeline,
    end_s: float,
) -> None:
    runner.start(end_s)
    timeline.run(end_s)


def _schedule(
    runner: CellRunner | DirectRunner,
    timeline: Timeline,
    arriving: Iterable[tuple[Outcome, int]],
) -> None:
    for outcome, daemon in arriving:
        arrive = functools.partial(runner.arrive, outcome, daemon)
        timeline.at(outcome.arrival.arrival_s, arrive)


def _make_runner(
    spec: TraceSpec,
    fleet: FleetModel,
    timeline: Timeline,
    owners: Callable[[], CellOwners] | None,
) -> CellRunner | DirectRunner:
    if owners is None:
        return DirectRunner(spec, fleet, timeline)
    return CellRunner(spec, fleet, timeline, owners)


def _owners(
    policy: DispatchPolicy,
    clock: Clock,
    split: OwnerSplit | None,
) -> Callable[[], CellOwners] | None:
    match policy:
        case DispatchPolicy.choice_of_two:
            return None
        case DispatchPolicy.fifo:
            make: MakeDispatcher = functools.partial(FifoDispatcher, clock)
        case _:
            make = functools.partial(Dispatcher, clock)
    return functools.partial(CellOwners, clock, make, split)
