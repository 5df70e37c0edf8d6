"""One life of a runner, and the group that it is in."""

from __future__ import annotations

import json

from attrs import astuple, define

from cowslipstep.fleet import (
    DiscoveredRunner,
    GroupId,
    GroupPosition,
    MemberState,
)
from cowslipstep.model import Address

SERVICE = 'engines'
MODEL = 'm-two'
_SERVING = frozenset((MemberState.open, MemberState.closing))


@define
class GroupedRunner:
    """One life of a runner."""

    number: int
    fencing_token: int = 0
    epoch: int = 0
    members: tuple[str, ...] = ()
    position: GroupPosition | None = None
    draining: bool = False
    is_gone: bool = False

    @property
    def name(self) -> str:
        """Name of the runner."""
        return f'i-{self.number}'

    @property
    def is_serving(self) -> bool:
        """Whether it is the head of a group that is open or closing."""
        return (
            not self.is_gone
            and self.position is not None
            and self.position.state in _SERVING
        )

    @property
    def is_ready_head(self) -> bool:
        """Whether it is the head of a group that may be opened."""
        at = self.position
        return at is not None and at.rank == 0 and at.state is MemberState.ready

    def is_in(self, epoch: int) -> bool:
        """Return whether it is in the group of that number."""
        return self.position is not None and self.position.epoch == epoch

    def enter(self, group: GroupId, state: MemberState) -> None:
        """Be in a group, in this state."""
        rank = self.members.index(self.name)
        self.position = GroupPosition(group.name, group.epoch, rank, state)

    def document(self) -> str:
        """Return its entry."""
        group = self.position and astuple(self.position)
        return json.dumps((self.number, self.draining, group))


def decode_runner(name: str, document: str) -> DiscoveredRunner:
    """Decode the entry of a runner; its port is its number."""
    number, draining, group = json.loads(document)
    position = _decode_position(*group) if group else None
    return DiscoveredRunner(
        name,
        SERVICE,
        Address('127.0.0.1', number),
        'north',
        9,
        draining,
        loaded_models=(MODEL,) if position else (),
        group_position=position,
    )


def _decode_position(
    group: str, epoch: int, rank: int, state: str
) -> GroupPosition:
    return GroupPosition(group, epoch, rank, MemberState(state))
