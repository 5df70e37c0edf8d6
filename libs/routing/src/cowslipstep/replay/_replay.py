"""Replay of a trace on a modelled fleet under a dispatch policy."""

from __future__ import annotations

import enum
import functools
import random
from collections.abc import Callable, Iterable

from cowslipstep.replay._baselines import FifoDispatcher
from cowslipstep.replay._cell_owners import (
    CellOwners,
    DispatcherFactory,
    OwnerTransition,
)
from cowslipstep.replay._cell_replay import CellReplay
from cowslipstep.replay._direct_replay import DirectReplay
from cowslipstep.replay._event_scheduler import EventScheduler
from cowslipstep.replay._fleet_model import FleetModel
from cowslipstep.replay._outcomes import Outcome
from cowslipstep.replay._spec import TraceSpec
from cowslipstep.replay._trace import expand_trace
from cowslipstep.routing import Clock, Dispatcher

_DRAIN_TIME_S = 120
_DEFAULT_FLEET = FleetModel()


class DispatchPolicy(enum.StrEnum):
    """Policy by which requests are sent to groups."""

    dispatcher = 'dispatcher'
    fifo = 'fifo'
    choice_of_two = 'choice_of_two'


def replay(
    spec: TraceSpec,
    policy: DispatchPolicy = DispatchPolicy.dispatcher,
    fleet: FleetModel = _DEFAULT_FLEET,
    transition: OwnerTransition | None = None,
) -> list[Outcome]:
    """Replay a trace and return the outcomes in order of arrival."""
    scheduler = EventScheduler()
    trace_replay = _make_replay(
        spec,
        fleet,
        scheduler,
        _owner_factory(policy, scheduler.clock, transition),
    )
    outcomes = list(map(Outcome, expand_trace(spec, fleet)))
    entry_daemons = random.Random(spec.seed).choices(
        range(fleet.daemons),
        fleet.entry_weights or None,
        k=len(outcomes),
    )
    _schedule(
        trace_replay, scheduler, zip(outcomes, entry_daemons, strict=True)
    )
    _run_until(
        trace_replay, scheduler, outcomes[-1].arrival.arrival_s + _DRAIN_TIME_S
    )
    return outcomes


def _run_until(
    trace_replay: CellReplay | DirectReplay,
    scheduler: EventScheduler,
    end_s: float,
) -> None:
    trace_replay.update_until(end_s)
    scheduler.run_until(end_s)


def _schedule(
    trace_replay: CellReplay | DirectReplay,
    scheduler: EventScheduler,
    arrivals: Iterable[tuple[Outcome, int]],
) -> None:
    for outcome, daemon in arrivals:
        handle_arrival = functools.partial(
            trace_replay.handle_arrival, outcome, daemon
        )
        scheduler.schedule(outcome.arrival.arrival_s, handle_arrival)


def _make_replay(
    spec: TraceSpec,
    fleet: FleetModel,
    scheduler: EventScheduler,
    make_owners: Callable[[], CellOwners] | None,
) -> CellReplay | DirectReplay:
    if make_owners is None:
        return DirectReplay(spec, fleet, scheduler)
    return CellReplay(spec, fleet, scheduler, make_owners)


def _owner_factory(
    policy: DispatchPolicy,
    clock: Clock,
    transition: OwnerTransition | None,
) -> Callable[[], CellOwners] | None:
    match policy:
        case DispatchPolicy.choice_of_two:
            return None
        case DispatchPolicy.fifo:
            make_dispatcher: DispatcherFactory = functools.partial(
                FifoDispatcher, clock
            )
        case _:
            make_dispatcher = functools.partial(Dispatcher, clock)
    return functools.partial(CellOwners, clock, make_dispatcher, transition)
