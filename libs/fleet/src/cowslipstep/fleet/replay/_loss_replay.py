"""Replay in which runners are lost while requests come."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator

from attrs import define, field

from cowslipstep.fleet._engines import EngineProfile
from cowslipstep.fleet._epochs import Epochs
from cowslipstep.fleet._planner import FleetPlanner
from cowslipstep.fleet.replay._fleet_replay import FleetReplay
from cowslipstep.fleet.replay._loss_figures import LossFigures, LossRecorder
from cowslipstep.fleet.replay._losses import (
    ControllerLost,
    LossCase,
    LossEvent,
    RunnersCut,
    RunnersLost,
    RunnersStarted,
    scheduled_events,
)
from cowslipstep.fleet.replay._simulated_runners import SERVICE, runner_of

# The entry of a lost runner lapses after this time.
_ENTRY_LIFETIME_S = 1.5
_PROBE_S = 0.5
# Loads before the first request take this part of their time.
_FIRST_LOAD_FACTOR = 0.1
_COMMAND_DELAYS_S = (0.02, 0.1)


def _planner_of(epochs: Epochs) -> FleetPlanner:
    return FleetPlanner(SERVICE, epochs)


def replay_losses(
    case: LossCase,
    engine: EngineProfile,
    new_planner: Callable[[Epochs], FleetPlanner] = _planner_of,
) -> LossFigures:
    """Replay a case and return its figures.

    Parameters
    ----------
    case
        What is lost, and when.
    engine
        Models and limits of the runners.
    new_planner
        Makes the planner of each term.
    """
    rng = random.Random(case.seed)
    replay = FleetReplay(
        engine,
        {},
        lambda: (rng.uniform(*_COMMAND_DELAYS_S),),
        new_planner,
        entry_lifetime_s=_ENTRY_LIFETIME_S,
        probe_s=_PROBE_S,
        loads_limited_from_s=case.calm_s,
    )
    replay.runners.load_factor = _FIRST_LOAD_FACTOR
    run = _LossReplay(case, replay, rng)
    run.play()
    return run.recorder.figures()


@define
class _LossReplay:
    case: LossCase
    replay: FleetReplay
    rng: random.Random
    recorder: LossRecorder = field(init=False)
    _started: int = 0

    def __attrs_post_init__(self) -> None:
        self.recorder = LossRecorder(self.replay)

    def play(self) -> None:
        """Play the case from the registration of runners to the end."""
        events = (*self._registrations(), *scheduled_events(self.case))
        for at_s, event in sorted(events, key=lambda timed: timed[0]):
            self._run_until(at_s)
            self._apply(event)
        self._run_until(self.case.calm_s + self.case.length_s)

    def _registrations(self) -> Iterator[tuple[float, LossEvent]]:
        for domain in range(self.case.domains):
            for _ in range(self.case.domain_size):
                at_s = self.rng.uniform(0, self.case.registered_within_s)
                yield at_s, RunnersStarted((domain,), 1)

    def _run_until(self, end_s: float) -> None:
        while self.replay.now_s < end_s:
            self.replay.step()
            if self.replay.now_s > self.case.calm_s:
                self.replay.demand = self.case.demand_at(self.replay.now_s)
                self.replay.runners.load_factor = 1
                self.recorder.record_step()

    def _apply(self, event: LossEvent) -> None:
        match event:
            case RunnersLost(domains, count):
                self._lose(domains, count)
            case RunnersStarted(domains, count):
                for _ in range(count):
                    self._start(self.rng.choice(domains))
            case RunnersCut(share, for_s):
                names = sorted(self.replay.runners.alive)
                for name in self.rng.sample(names, int(share * len(names))):
                    self.replay.cut_off(name, self.replay.now_s + for_s)
            case ControllerLost(for_s):
                self.replay.lose_planner()
                self._run_until(self.replay.now_s + for_s)
                self.replay.replace_planner()

    def _lose(self, domains: tuple[int, ...], count: int) -> None:
        """Lose runners that are members of groups."""
        fabric_domains = {f'domain-{domain}' for domain in domains}
        members = sorted(
            runner.name
            for runner in self.replay.runners.alive.values()
            if runner.group_position and runner.fabric_domain in fabric_domains
        )
        for name in self.rng.sample(members, min(count, len(members))):
            self.replay.runners.alive.pop(name)
            self.recorder.lost += 1

    def _start(self, domain: int) -> None:
        started = runner_of(self._started, domain, self.replay.engine.slots)
        self._started += 1
        self.replay.runners.alive[started.name] = started
