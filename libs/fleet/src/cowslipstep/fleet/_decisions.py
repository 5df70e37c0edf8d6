"""What a keeper sees of a fleet of runners, and what it decides."""

from __future__ import annotations

from collections.abc import Mapping

from attrs import field, frozen

from cowslipstep.fleet._engines import EngineProfile
from cowslipstep.fleet._formations import FormationKey, MembersByRank
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
    lost
        Runners that do not answer.
    members
        Members by rank that have ever reported a group.
    heard
        Members that are registered no more and still answer.
    left
        Groups whose head has confirmed that it left; its own entry may say
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
    lost: frozenset[str] = field(factory=frozenset)
    members: MembersByRank = field(factory=dict)
    heard: frozenset[str] = field(factory=frozenset)
    left: frozenset[FormationKey] = field(factory=frozenset)
    paced: bool = True
    settled: bool = True

    @property
    def present(self) -> list[DiscoveredRunner]:
        """Runners that answer."""
        return [
            runner
            for runner in self.runners.values()
            if runner.name not in self.lost
        ]


@frozen
class FormGroup:
    """Runners shall join a new group; the first of them leads."""

    key: FormationKey
    model: str
    members: tuple[DiscoveredRunner, ...]


@frozen
class OpenGroup:
    """The head of a whole group shall take requests."""

    key: FormationKey
    head: DiscoveredRunner


@frozen
class CloseGroup:
    """The head shall take no more requests and finish those that run."""

    key: FormationKey
    head: DiscoveredRunner


@frozen
class LeaveGroup:
    """A member shall leave its group at once and become free.

    When the head leaves, all members become free.
    """

    key: FormationKey
    member: DiscoveredRunner


@frozen
class StageModel:
    """A host shall load the weights of a model beside its other work."""

    runner: DiscoveredRunner
    model: str


FleetDecision = FormGroup | OpenGroup | CloseGroup | LeaveGroup | StageModel
