"""Simulated fleet under a planner, with late, lost or doubled commands."""

from __future__ import annotations

import math
from collections import Counter, defaultdict
from collections.abc import Callable, Mapping

from attrs import define, field

from cowslipstep.fleet._decisions import (
    CloseGroup,
    FleetDecision,
    FleetView,
    FormGroup,
    LeaveGroup,
    OpenGroup,
    StageModel,
)
from cowslipstep.fleet._engines import EngineProfile
from cowslipstep.fleet._epochs import Epochs
from cowslipstep.fleet._evacuations import Evacuations, exclude_evacuated
from cowslipstep.fleet._planner import FleetPlanner
from cowslipstep.fleet._runners import DiscoveredRunner, GroupId
from cowslipstep.fleet.replay._simulated_runners import (
    SERVICE,
    SentCommand,
    SimulatedRunners,
)

STEP_S = 0.1


def _no_delay() -> tuple[float, ...]:
    return (0,)


def _new_planner(epochs: Epochs) -> FleetPlanner:
    return FleetPlanner(SERVICE, epochs)


@define
class FleetReplay:  # noqa: WPS214, WPS230
    """Simulated runners, and the planner that commands them.

    Attributes
    ----------
    engine
        Models and limits of the runners.
    demand
        Number of groups that the requests keep busy, by model.
    delays
        Returns the delays after which a command reaches its runner, seconds;
        none if it is lost, several if it is duplicated.
    new_planner
        Makes the planner of a term.
    entry_lifetime_s
        Time for which the entry of a runner stays after the runner is lost
        or cut off from the store.
    probe_s
        Time from the end of an entry until probes tell whether the runner
        still responds.
    loads_limited_from_s
        Clock reading from which loads of weights are limited.
    evacuations
        Failure domains that are evacuated.
    """

    engine: EngineProfile
    demand: Mapping[str, float]
    delays: Callable[[], tuple[float, ...]] = _no_delay
    new_planner: Callable[[Epochs], FleetPlanner] = _new_planner
    entry_lifetime_s: float = 0
    probe_s: float = 0
    loads_limited_from_s: float = 0
    now_s: float = 0
    evacuations: Evacuations = Evacuations()
    term: int = 1
    decisions: list[FleetDecision] = field(factory=list)
    runners: SimulatedRunners = field(init=False)
    _planner: FleetPlanner | None = field(init=False)
    _commands: list[SentCommand] = field(factory=list)
    _entries: dict[str, DiscoveredRunner] = field(factory=dict)
    _entries_end_s: dict[str, float] = field(factory=dict)
    _probed_at_s: dict[str, float] = field(factory=dict)
    _cut_until_s: dict[str, float] = field(factory=dict)
    _members: defaultdict[GroupId, dict[int, DiscoveredRunner]] = field(
        factory=lambda: defaultdict(dict)
    )

    def __attrs_post_init__(self) -> None:
        """Start without runners, with the planner of the first term."""
        self.runners = SimulatedRunners(self.engine)
        self._planner = self.new_planner(Epochs(self.term))

    def run_until(self, end_s: float) -> None:
        """Advance the clock in steps; deliver commands, send new decisions."""
        while self.now_s < end_s:
            self.step()

    def step(self) -> None:
        """Advance the clock by one step."""
        self.now_s += STEP_S
        due = [
            command for command in self._commands if command.at_s <= self.now_s
        ]
        self._commands = [
            command for command in self._commands if command not in due
        ]
        for command in due:
            self.runners.carry_out(command)
        self.runners.pass_time(self.now_s)
        self._update_entries()
        if self._planner is None:
            return
        for decision in self._planner.decide(self.view()):
            self.decisions.append(decision)
            for delay_s in self.delays():
                self.send(decision, self.now_s + delay_s)

    def cut_off(self, name: str, until_s: float) -> None:
        """Cut a runner off from the store; daemons still reach it."""
        self._cut_until_s[name] = until_s

    def lose_planner(self) -> None:
        """Decide nothing until the planner is replaced."""
        self._planner = None

    def replace_planner(self) -> None:
        """Start a planner of the next term, as after a change of the lease."""
        self.term += 1
        self._planner = self.new_planner(Epochs(self.term))

    def utilization(self) -> dict[str, float]:
        """Return the demand for each model per group that gets requests."""
        counts = Counter(
            leader.loaded_models[0]
            for leader in self.runners.leaders().values()
            if leader.failure_domain not in self.evacuations.domains
        )
        return {
            model: demand / counts[model] if counts[model] else math.inf
            for model, demand in self.demand.items()
        }

    def send(self, decision: FleetDecision, at_s: float) -> None:
        """Send a decision, which reaches its runners at a clock reading."""
        for rank, name in enumerate(_addressees(decision)):
            self._commands.append(
                SentCommand(at_s, name, rank, self.term, decision)
            )

    def view(self) -> FleetView:
        """Return the state of the fleet as the planner sees it."""
        self._remember_members()
        alive = self.runners.alive.keys()
        probed = frozenset(
            name
            for name, probed_at_s in self._probed_at_s.items()
            if probed_at_s <= self.now_s
        )
        view = FleetView(
            dict(self._entries),
            self.engine,
            self.now_s,
            self.demand,
            lost_runners=probed - alive,
            known_members=self._members,
            reachable_unregistered=probed & alive,
            load_limits_apply=self.now_s > self.loads_limited_from_s,
        )
        return exclude_evacuated(view, self.evacuations)

    def _remember_members(self) -> None:
        for runner in self._entries.values():
            if runner.group_position and runner.group_id:
                members = self._members[runner.group_id]
                members[runner.group_position.rank] = runner

    def _update_entries(self) -> None:
        self._cut_until_s = {
            name: until_s
            for name, until_s in self._cut_until_s.items()
            if until_s > self.now_s
        }
        for name, runner in self.runners.alive.items():
            if name not in self._cut_until_s:
                self._entries[name] = runner
                self._entries_end_s[name] = self.now_s + self.entry_lifetime_s
                self._probed_at_s.pop(name, None)
        for name, end_s in tuple(self._entries_end_s.items()):
            if end_s < self.now_s:
                self._entries.pop(name)
                self._entries_end_s.pop(name)
                self._probed_at_s[name] = self.now_s + self.probe_s


def _addressees(decision: FleetDecision) -> tuple[str, ...]:
    match decision:
        case FormGroup(_, _, members):
            return tuple(member.name for member in members)
        case OpenGroup(_, runner) | CloseGroup(_, runner):
            return (runner.name,)
        case LeaveGroup(_, runner) | StageModel(runner, _):
            return (runner.name,)
