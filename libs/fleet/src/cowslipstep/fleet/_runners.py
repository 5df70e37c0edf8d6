"""Runners as they register themselves, and the groups that they report."""

from __future__ import annotations

import enum

from attrs import field, frozen

from cowslipstep.model import Address


class MemberState(enum.StrEnum):
    """State of a runner within its group."""

    joining = 'joining'
    ready = 'ready'
    open = 'open'
    closing = 'closing'
    broken = 'broken'


@frozen
class GroupPosition:
    """Place of a runner in a group.

    Parameters
    ----------
    group
        Name of the group.
    epoch
        Number of the command that formed it; grows with each one.
    rank
        Place among the members; the member of rank 0 leads.
    state
        What the runner does in the group.
    """

    group: str
    epoch: int
    rank: int
    state: MemberState

    @property
    def key(self) -> tuple[str, int]:
        """Name and epoch, which identify one formation of a group."""
        return (self.group, self.epoch)


@frozen
class DiscoveredRunner:
    """A runner that has registered itself.

    Parameters
    ----------
    name
        Identity of this start of the runner.
    service
        Service that it belongs to.
    address
        Where it listens.
    failure_domain
        Its failure domain.
    slots
        Requests that it runs at once.
    draining
        Whether it is about to leave.
    fabric_domain
        Its fabric domain; empty for none.
    loaded
        Models that it holds.
    staged
        Models whose weights lie on its host.
    group_position
        Its place in a group, if it has one.
    """

    name: str
    service: str
    address: Address
    failure_domain: str
    slots: int
    draining: bool = False
    fabric_domain: str = ''
    loaded: tuple[str, ...] = ()
    staged: tuple[str, ...] = ()
    group_position: GroupPosition | None = None


@frozen
class ServingGroup:
    """A group of runners that serves requests through its first member."""

    name: str
    epoch: int
    model: str
    members: tuple[DiscoveredRunner, ...] = field()

    @property
    def leader(self) -> DiscoveredRunner:
        """The member that takes requests."""
        return self.members[0]
