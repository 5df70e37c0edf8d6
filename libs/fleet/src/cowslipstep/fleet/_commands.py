"""Commands to runners, independent of their encoding."""

from __future__ import annotations

import enum

from attrs import frozen

from cowslipstep.fleet._runners import GroupId


class CommandOutcome(enum.StrEnum):
    """Response of a runner to a command.

    Attributes
    ----------
    accepted
        The runner carries out the command.
    unfit
        The runner refuses the command as malformed, or as one that does not
        fit its state.
    outdated
        The runner has received a larger fencing token.
    misdirected
        The command reached another runner than it was meant for.
    unknown
        There was no response that shows the outcome; the command may take
        effect.
    """

    accepted = 'accepted'
    unfit = 'unfit'
    outdated = 'outdated'
    misdirected = 'misdirected'
    unknown = 'unknown'


@frozen
class JoinCommand:
    """Command to join a group; the first of ``members`` is its leader."""

    group: GroupId
    model: str
    members: tuple[str, ...]


@frozen
class OpenCommand:
    """Command to the leader of a complete group to serve requests."""

    group: GroupId


@frozen
class CloseCommand:
    """Command to the leader to accept no more requests.

    With ``cancel`` the leader also cancels the requests that run; without it
    they finish.
    """

    group: GroupId
    cancel: bool = False


@frozen
class LeaveCommand:
    """Command to leave a group at once."""

    group: GroupId


@frozen
class StageCommand:
    """Command to load a model's weights onto the host without serving it."""

    model: str


GroupCommand = (
    JoinCommand | OpenCommand | CloseCommand | LeaveCommand | StageCommand
)
