"""Input and decisions of the planner of a fleet of runners."""

from __future__ import annotations

from collections.abc import Mapping

from attrs import field, frozen

from cowslipstep.fleet._engines import EngineProfile
from cowslipstep.fleet._reported_groups import MembersByRank
from cowslipstep.fleet._runners import DiscoveredRunner, GroupId


@frozen
class FleetView:
    """State of the runners of one service at one moment.

    Parameters
    ----------
    runners
        Registered runners, by name.
    engine
        Times and limits that the service's engines publish.
    now_s
        Clock reading, seconds.
    demand
        Number of groups that the requests keep busy, by model.
    lost_runners
        Names of runners that missed probes, registered ones or members of
        groups that are no longer registered. A runner without an entry that
        has not been probed yet is neither here nor among the reachable ones.
    known_members
        Members of each group by rank, also those that are no longer registered.
    reachable_unregistered
        Names of members that are no longer registered but still answer.
    departed
        Groups whose leader has confirmed lately that it left. The leader's
        registration shows this later, or not at all while the leader cannot
        reach the store.
    load_limits_apply
        Whether loads of weights count towards the limits of the weight store.
    registrations_settled
        Whether few runners have registered recently.
    evacuated
        Names of runners whose failure domain is evacuated; those without a
        group also count as draining.
    superseded
        Groups of which a member was commanded to join a later one; set by the
        planner. The command may be carried out seconds late.
    peak_demand
        Highest demand over a wave, by model; set by the planner.
    """

    runners: Mapping[str, DiscoveredRunner]
    engine: EngineProfile
    now_s: float
    demand: Mapping[str, float] = field(factory=dict)
    lost_runners: frozenset[str] = field(factory=frozenset)
    known_members: MembersByRank = field(factory=dict)
    reachable_unregistered: frozenset[str] = field(factory=frozenset)
    departed: frozenset[GroupId] = field(factory=frozenset)
    load_limits_apply: bool = True
    registrations_settled: bool = True
    evacuated: frozenset[str] = field(factory=frozenset)
    superseded: frozenset[GroupId] = field(factory=frozenset)
    peak_demand: Mapping[str, float] = field(factory=dict)

    @property
    def answering(self) -> list[DiscoveredRunner]:
        """Registered runners that are not lost."""
        return [
            runner
            for runner in self.runners.values()
            if runner.name not in self.lost_runners
        ]


def usable_names(view: FleetView) -> frozenset[str]:
    """Return the runners that answer and whose domain is not evacuated."""
    answering = frozenset(runner.name for runner in view.answering)
    return answering - view.evacuated


@frozen
class FormGroup:
    """Decision to form a group of runners; the first one is its leader."""

    key: GroupId
    model: str
    members: tuple[DiscoveredRunner, ...]


@frozen
class OpenGroup:
    """Decision to open a complete group: its leader accepts requests."""

    key: GroupId
    leader: DiscoveredRunner


@frozen
class CloseGroup:
    """Decision to close a group: its leader only finishes its requests."""

    key: GroupId
    leader: DiscoveredRunner


@frozen
class LeaveGroup:
    """Decision that a member leaves its group at once, which makes it free.

    If it is the leader, all members become free.
    """

    key: GroupId
    member: DiscoveredRunner


@frozen
class StageModel:
    """Decision that a host loads weights of a model beside its other work."""

    runner: DiscoveredRunner
    model: str


FleetDecision = FormGroup | OpenGroup | CloseGroup | LeaveGroup | StageModel
