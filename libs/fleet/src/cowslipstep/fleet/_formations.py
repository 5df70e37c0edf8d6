"""Groups as their members report them."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from attrs import frozen

from cowslipstep.fleet._engines import EngineProfile
from cowslipstep.fleet._runners import (
    DiscoveredRunner,
    Seat,
    SeatState,
    ServingGroup,
)

FormationKey = tuple[str, int]
MembersByRank = Mapping[FormationKey, Mapping[int, DiscoveredRunner]]


@frozen
class Formation:
    """The runners that report the same group and epoch.

    Parameters
    ----------
    key
        Name and epoch.
    members
        Runners by rank.
    """

    key: FormationKey
    members: dict[int, DiscoveredRunner]

    @property
    def head(self) -> DiscoveredRunner | None:
        """The member that leads, if it reports the group."""
        return self.members.get(0)

    @property
    def head_state(self) -> SeatState | None:
        """State of the leading member in the group."""
        return _state(self.head)

    @property
    def model(self) -> str:
        """The model that its members hold; empty while none has it."""
        for runner in self.members.values():
            if runner.loaded:
                return runner.loaded[0]
        return ''

    @property
    def names(self) -> frozenset[str]:
        """Names of the members that report the group."""
        return frozenset(runner.name for runner in self.members.values())

    @property
    def draining(self) -> bool:
        """Whether a member is about to leave."""
        return any(runner.draining for runner in self.members.values())

    def is_whole(self, size: int) -> bool:
        """Whether all members of a group of that size report it."""
        return all(rank in self.members for rank in range(size))

    def are_ready(self) -> bool:
        """Whether each member that reports the group is ready in it."""
        ready = (SeatState.ready, SeatState.open, SeatState.closing)
        return all(_state(runner) in ready for runner in self.members.values())


def formations(
    runners: Iterable[DiscoveredRunner],
) -> dict[FormationKey, Formation]:
    """Return the formations that runners report."""
    found: dict[FormationKey, Formation] = {}
    for runner in runners:
        if runner.seat is None:
            continue
        formation = found.setdefault(
            runner.seat.key,
            Formation(runner.seat.key, {}),
        )
        formation.members[runner.seat.rank] = runner
    return found


def serving_groups(
    runners: Iterable[DiscoveredRunner],
    engine: EngineProfile,
    vanished: MembersByRank,
) -> tuple[ServingGroup, ...]:
    """Return the whole groups whose head takes requests.

    Groups with a member that is about to leave are left out.

    Parameters
    ----------
    runners
        Runners that are registered.
    engine
        What their engines publish.
    vanished
        Members by rank that are registered no more and still answer.
    """
    groups = (
        _serving_group(
            formation,
            engine,
            {**vanished.get(key, {}), **formation.members},
        )
        for key, formation in formations(runners).items()
    )
    return tuple(group for group in groups if group is not None)


def _serving_group(
    formation: Formation,
    engine: EngineProfile,
    members: Mapping[int, DiscoveredRunner],
) -> ServingGroup | None:
    model = engine.model(formation.model)
    if model is None or formation.head_state is not SeatState.open:
        return None
    ranks = range(model.group_size)
    if formation.draining or not members.keys() >= set(ranks):
        return None
    listed = tuple(members[rank] for rank in ranks)
    return ServingGroup(*formation.key, model.name, listed)


def _state(runner: DiscoveredRunner | None) -> SeatState | None:
    seat: Seat | None = runner.seat if runner else None
    return seat.state if seat else None
