"""What the tasks of a daemon share."""

from __future__ import annotations

import time

from attrs import define, field

from cowslipstep.daemon._logs import log_event
from cowslipstep.groups import DomainLedger, ReadinessTable
from cowslipstep.metrics import (
    Counters,
    EventLog,
    Gauges,
    Histograms,
    RequestLog,
)
from cowslipstep.model import Configuration, Heartbeat, VersionedConfiguration
from cowslipstep.platform import PlatformClient
from cowslipstep.settings import DaemonSettings

_NO_VERSION = 0
_PEER_ALIVE_S = 2.5


@define
class PeerState:
    """The last heartbeat of a peer and when it came."""

    heartbeat: Heartbeat
    heard_at_s: float


@define
class DaemonState:
    """State shared by the tasks of one daemon.

    Attributes
    ----------
    settings
        Settings read at the start.
    platform
        Client of the platform.
    versioned
        The configuration in force, if one is known.
    document
        Text of the configuration in force, for peers that lag.
    ledgers
        Ledgers by fabric domain, as last read.
    peers
        Peers by name, as last heard.
    stopping
        Whether a planned stop has begun.
    """

    settings: DaemonSettings
    platform: PlatformClient
    incarnation: int = field(factory=time.time_ns)
    versioned: VersionedConfiguration | None = None
    document: str = ''
    ledgers: dict[str, DomainLedger] = field(factory=dict)
    peers: dict[str, PeerState] = field(factory=dict)
    readiness: ReadinessTable = field(
        factory=lambda: ReadinessTable(time.monotonic),
    )
    histograms: Histograms = field(factory=Histograms)
    counters: Counters = field(factory=Counters)
    gauges: Gauges = field(factory=Gauges)
    events: EventLog = field(factory=lambda: EventLog(log_event))
    requests: RequestLog = field(factory=RequestLog)
    stopping: bool = False

    @property
    def version(self) -> int:
        """Version of the configuration in force; zero for none."""
        if self.versioned is None:
            return _NO_VERSION
        return self.versioned.version

    @property
    def configuration(self) -> Configuration | None:
        """The configuration in force, if one is known."""
        if self.versioned is None:
            return None
        return self.versioned.configuration

    @property
    def live_daemons(self) -> tuple[str, ...]:
        """Names of this daemon and of the peers heard recently."""
        oldest = time.monotonic() - _PEER_ALIVE_S
        alive = [
            name
            for name, peer in self.peers.items()
            if peer.heard_at_s > oldest and not peer.heartbeat.stopping
        ]
        return (self.settings.name, *alive)
