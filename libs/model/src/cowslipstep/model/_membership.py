"""Messages between daemons on membership, readiness and configuration."""

from __future__ import annotations

import math

from attrs import frozen

from cowslipstep.model._fleet import Address
from cowslipstep.model._group_ledger_messages import (
    GroupLedgerCopies,
    GroupLedgerQuery,
)
from cowslipstep.model._readiness import ReadinessReport


@frozen
class GossipedLiveness:
    """Liveness of a third daemon, passed on in the reply to a heartbeat.

    In a large fleet a daemon exchanges heartbeats with some peers only and
    receives the liveness of all others by this gossip.

    Parameters
    ----------
    daemon
        Name of the third daemon.
    incarnation
        Its newest incarnation of which the sender has a record.
    age_s
        Upper bound of the time since its last heartbeat, seconds.
    stopping
        Whether it is in a planned stop.
    """

    daemon: str
    incarnation: int
    age_s: float
    stopping: bool = False


@frozen
class Heartbeat:
    """Shows a peer that the sender is alive; the peer replies with its own.

    Parameters
    ----------
    daemon
        Name of the sender.
    incarnation
        Number of the sender's process; grows with each restart.
    configuration_version
        Version of the configuration that the sender applies.
    stopping
        Whether the sender is in a planned stop.
    known_group_list
        Number of the list of groups that the sender last received from this
        receiver, which then need not send the list again; zero for none.
    readiness
        Readiness of the groups that the sender probes; only in replies.
    gossip
        Liveness of other daemons as the sender has recorded it; only in
        replies.
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
    """Address and host properties of a daemon.

    A daemon that opens a link to a peer sends its own entry first.

    Parameters
    ----------
    name
        Name that is unique among the daemons.
    address
        Address where it accepts links from other daemons.
    failure_domain
        Failure domain of its host.
    incarnation
        Number of the process that wrote the entry; zero for an entry from
        the settings.
    cores
        Processor cores that the daemon may use.
    """

    name: str
    address: Address
    failure_domain: str
    incarnation: int = 0
    cores: float = 1


@frozen
class ConfigurationQuery:
    """Requests a peer's configuration if newer than ``known_version``."""

    known_version: int


@frozen
class ConfigurationCopy:
    """The configuration document as submitted by the operator.

    It is the reply to ``ConfigurationQuery``, with an empty document if the
    sender has no newer one; it is also sent to a peer whose heartbeat has
    an older version.

    Parameters
    ----------
    version
        Version that the sender applies.
    document
        Its text; empty if the receiver has the version already.
    confirmed_age_s
        Time for which the sender has not confirmed that the platform stores no
        newer version, seconds; infinite if it never has.
    """

    version: int
    document: str
    confirmed_age_s: float = math.inf


@frozen
class Acknowledgement:
    """Reply that confirms a message for which there is no other reply."""


MembershipMessage = (
    Heartbeat
    | DaemonEntry
    | ConfigurationQuery
    | ConfigurationCopy
    | GroupLedgerQuery
    | GroupLedgerCopies
    | Acknowledgement
)
