"""Messages between daemons, without their encoding."""

from __future__ import annotations

from attrs import frozen

from cowslipstep.model._fleet import Address, Cell
from cowslipstep.model._requests import Request
from cowslipstep.model._verdicts import NotRun


@frozen
class Ask:
    """An entry daemon asks the dispatcher of a cell for a slot.

    ``avoid`` names groups on which an earlier try failed.
    """

    cell: Cell
    request: Request
    avoid: tuple[str, ...] = ()


@frozen
class Grant:
    """A slot on a group, valid until released or expired.

    Parameters
    ----------
    request_id
        The request that the slot is for.
    group
        Name of the group.
    address
        Address of the leading runner.
    valid_s
        Seconds until the slot is taken back unless renewed.
    """

    request_id: str
    group: str
    address: Address
    valid_s: float


@frozen
class Refusal:
    """The dispatcher will not grant a slot for the request."""

    request_id: str
    verdict: NotRun


@frozen
class Renewal:
    """Extends a grant and reports the tokens streamed so far."""

    cell: Cell
    request_id: str
    streamed_tokens: int


@frozen
class Release:
    """Ends a grant, or withdraws an ask that was not granted yet.

    ``failed`` is true when the group did not answer as it should.
    """

    cell: Cell
    request_id: str
    streamed_tokens: int
    failed: bool = False


@frozen
class GroupReadiness:
    """A group that may serve for ``remaining_s`` more seconds."""

    group: str
    remaining_s: float


@frozen
class Heartbeat:
    """Periodic report of a daemon to its peers.

    Parameters
    ----------
    daemon
        Name of the sender.
    incarnation
        Grows with each start of a daemon of that name.
    configuration_version
        Newest configuration version known to the sender.
    readiness
        Groups probed by the sender.
    stopping
        Whether the sender is in a planned stop.
    """

    daemon: str
    incarnation: int
    configuration_version: int
    readiness: tuple[GroupReadiness, ...] = ()
    stopping: bool = False


@frozen
class ConfigurationQuery:
    """Asks a peer for its configuration if newer than ``known_version``."""

    known_version: int


@frozen
class ConfigurationCopy:
    """A peer's configuration document, as submitted; empty if not newer."""

    version: int
    document: str


@frozen
class Acknowledgement:
    """Confirms a message that needs no other reply."""


Message = (
    Ask
    | Grant
    | Refusal
    | Renewal
    | Release
    | Heartbeat
    | ConfigurationQuery
    | ConfigurationCopy
    | Acknowledgement
)
