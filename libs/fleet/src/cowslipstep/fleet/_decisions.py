"""What a planner sees of a fleet of runners, and what it decides."""

from __future__ import annotations

from collections.abc import Mapping

from attrs import field, frozen

from cowslipstep.fleet._engines import EngineProfile
from cowslipstep.fleet._reported_groups import GroupKey, MembersByRank
from cowslipstep.fleet._runners import DiscoveredRunner


@frozen
class FleetView:
    """Runners of one service as known at one moment.

    Parameters
    ----------
    runners
        Runners that have registered, by name.
    engine
        What their engines publish.
    now_s
        Clock reading.
    demand
        Groups that requests keep busy, by model.
    lost_runners
        Runners that do not answer.
    members
        Members by rank that have ever reported a group.
    reachable_unregistered
        Members that are registered no more and still answer.
    departed
        Groups whose leader has confirmed that it left; its own entry may say
        so late, or not at all while the store does not hear it.
    paced
        Whether loads of weights count towards the limits of their store.
    settled
        Whether no runner has registered for a while.
    """

    runners: Mapping[str, DiscoveredRunner]
    engine: EngineProfile
    now_s: float
    demand: Mapping[str, float] = field(factory=dict)
    lost_runners: frozenset[str] = field(factory=frozenset)
    members: MembersByRank = field(factory=dict)
    reachable_unregistered: frozenset[str] = field(factory=frozenset)
    departed: frozenset[GroupKey] = field(factory=frozenset)
    paced: bool = True
    settled: bool = True

    @property
    def present(self) -> list[DiscoveredRunner]:
        """Runners that answer."""
        return [
            runner
            for runner in self.runners.values()
            if runner.name not in self.lost_runners
        ]


@frozen
class FormGroup:
    """Runners shall join a new group; the first of them leads."""

    key: GroupKey
    model: str
    members: tuple[DiscoveredRunner, ...]


@frozen
class OpenGroup:
    """The leader of a whole group shall take requests."""

    key: GroupKey
    leader: DiscoveredRunner


@frozen
class CloseGroup:
    """The leader shall take no more requests and finish those that run."""

    key: GroupKey
    leader: DiscoveredRunner


@frozen
class LeaveGroup:
    """A member shall leave its group at once and become free.

    When the leader leaves, all members become free.
    """

    key: GroupKey
    member: DiscoveredRunner


@frozen
class StageModel:
    """A host shall load the weights of a model beside its other work."""

    runner: DiscoveredRunner
    model: str


FleetDecision = FormGroup | OpenGroup | CloseGroup | LeaveGroup | StageModel
