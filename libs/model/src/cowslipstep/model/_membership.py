"""Messages on membership, readiness and configuration."""

from __future__ import annotations

from attrs import frozen

from cowslipstep.model._fleet import Address
from cowslipstep.model._group_ledger_messages import (
    GroupLedgerCopies,
    GroupLedgerQuery,
)
from cowslipstep.model._readiness import ReadinessReport


@frozen
class GossipedLiveness:
    """What is known of a daemon that the receiver may not hear itself.

    Parameters
    ----------
    daemon
        Name of the daemon.
    incarnation
        Newest incarnation known.
    age_s
        Upper bound of the time since it was heard.
    stopping
        Whether it is in a planned stop.
    """

    daemon: str
    incarnation: int
    age_s: float
    stopping: bool = False


@frozen
class Heartbeat:
    """Report of a daemon to a peer, and the peer's report in reply.

    Parameters
    ----------
    daemon
        Name of the sender.
    incarnation
        Grows with each start of a daemon of that name.
    configuration_version
        Version of the sender's configuration in force.
    stopping
        Whether the sender is in a planned stop.
    known_group_list
        Number of the receiver's list of groups that the sender holds.
    readiness
        Groups probed by the sender; only in replies.
    gossip
        Other daemons, as heard by the sender; only in replies.
    """

    daemon: str
    incarnation: int
    configuration_version: int
    stopping: bool = False
    known_group_list: int = 0
    readiness: ReadinessReport = ReadinessReport()
    gossip: tuple[GossipedLiveness, ...] = ()


@frozen
class DaemonEntry:
    """Where a daemon is reached.

    Parameters
    ----------
    name
        Unique name among the daemons.
    address
        Where other daemons connect.
    failure_domain
        Failure domain of its host.
    incarnation
        Start that the entry is of; zero for one from settings.
    cores
        Processor cores that its host gives it.
    """

    name: str
    address: Address
    failure_domain: str
    incarnation: int = 0
    cores: float = 1


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


MembershipMessage = (
    Heartbeat
    | DaemonEntry
    | ConfigurationQuery
    | ConfigurationCopy
    | GroupLedgerQuery
    | GroupLedgerCopies
    | Acknowledgement
)
