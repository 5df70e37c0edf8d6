"""Commands to runners, without their encoding."""

from __future__ import annotations

import enum

from attrs import frozen


class CommandOutcome(enum.StrEnum):
    """What a runner said to a command."""

    accepted = 'accepted'
    unfit = 'unfit'
    outdated = 'outdated'
    misdirected = 'misdirected'
    unknown = 'unknown'


@frozen
class JoinCommand:
    """Command to become a member of a group; its first member leads."""

    group: str
    epoch: int
    model: str
    members: tuple[str, ...]


@frozen
class OpenCommand:
    """Command to the first member of a whole group to serve requests."""

    group: str
    epoch: int


@frozen
class CloseCommand:
    """Command to the first member to take no more requests.

    ``cancel`` ends those that run.
    """

    group: str
    epoch: int
    cancel: bool = False


@frozen
class LeaveCommand:
    """Command to leave a group at once."""

    group: str
    epoch: int


@frozen
class StageCommand:
    """Command to load the weights of a model onto the runner's host."""

    model: str


GroupCommand = (
    JoinCommand | OpenCommand | CloseCommand | LeaveCommand | StageCommand
)
