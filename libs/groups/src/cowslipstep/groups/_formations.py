"""Groups as their members report them."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from attrs import frozen

from cowslipstep.model import (
    DiscoveredRunner,
    EngineProfile,
    Seat,
    SeatState,
    ServingGroup,
)

FormationKey = tuple[str, int]


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
    vanished: Mapping[FormationKey, Mapping[int, DiscoveredRunner]],
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
    groups = []
    for formation in formations(runners).values():
        model = engine.model(formation.model)
        if model is None or formation.head_state is not SeatState.open:
            continue
        members = {
            **vanished.get(formation.key, {}),
            **formation.members,
        }
        ranks = range(model.group_size)
        if formation.draining or any(rank not in members for rank in ranks):
            continue
        listed = tuple(members[rank] for rank in ranks)
        groups.append(ServingGroup(*formation.key, model.name, listed))
    return tuple(groups)


def _state(runner: DiscoveredRunner | None) -> SeatState | None:
    seat: Seat | None = runner.seat if runner else None
    return seat.state if seat else None
