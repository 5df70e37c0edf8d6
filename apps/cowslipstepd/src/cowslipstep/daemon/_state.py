"""What the tasks of a daemon share."""

from __future__ import annotations

import time
from collections.abc import Callable

from attrs import Factory, define, field

from cowslipstep.daemon._live import LiveDaemons, daemons_in
from cowslipstep.daemon._logs import log_event
from cowslipstep.daemon._membership import Membership
from cowslipstep.daemon._order_ledger_calls import (
    OrderLedgerCallHandler,
    refuse_order_ledger_call,
)
from cowslipstep.groups import DomainLedger, ReadinessTable
from cowslipstep.metrics import (
    Counters,
    EventLog,
    Gauges,
    Histograms,
    RequestLog,
)
from cowslipstep.model import Configuration, VersionedConfiguration
from cowslipstep.peers import Traffic
from cowslipstep.platform import PlatformClient
from cowslipstep.routing import rendezvous_order
from cowslipstep.settings import DaemonSettings

_NO_VERSION = 0


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
    membership
        The other daemons.
    live
        Which of them are alive.
    traffic
        Bytes exchanged with them.
    stopping
        Whether a planned stop has begun.
    intake_closed
        Whether a planned stop no longer takes requests.
    handle_order_ledger_call
        Handles changes of the order ledger that other daemons ask for.
    stop_hooks
        Called when a planned stop begins.
    end_hooks
        Called when no request is in progress at the end of a planned stop.
    confirmed
        Whether the newest configuration known anywhere was in force.
    isolated
        Whether neither the platform nor a peer has answered for long.
    """

    settings: DaemonSettings
    platform: PlatformClient
    incarnation: int = field(factory=time.time_ns)
    versioned: VersionedConfiguration | None = None
    document: str = ''
    ledgers: dict[str, DomainLedger] = field(factory=dict)
    membership: Membership = field(
        default=Factory(
            lambda state: Membership(state.settings, state.incarnation),
            takes_self=True,
        ),
    )
    live: LiveDaemons = field(
        default=Factory(
            lambda state: LiveDaemons(state.membership, time.monotonic),
            takes_self=True,
        ),
    )
    traffic: Traffic = field(factory=Traffic)
    readiness: ReadinessTable = field(
        factory=lambda: ReadinessTable(time.monotonic),
    )
    histograms: Histograms = field(factory=Histograms)
    counters: Counters = field(factory=Counters)
    gauges: Gauges = field(factory=Gauges)
    events: EventLog = field(factory=lambda: EventLog(log_event))
    requests: RequestLog = field(factory=RequestLog)
    stopping: bool = False
    intake_closed: bool = False
    stop_hooks: list[Callable[[], None]] = field(factory=list)
    end_hooks: list[Callable[[], None]] = field(factory=list)
    handle_order_ledger_call: OrderLedgerCallHandler = refuse_order_ledger_call
    confirmed: bool = False
    isolated: bool = False

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
    def ready(self) -> bool:
        """Whether the balancer should send requests."""
        return self.accepts_requests and not (self.stopping or self.isolated)

    @property
    def accepts_requests(self) -> bool:
        """Whether requests that come are served."""
        return self.confirmed and not self.intake_closed

    @property
    def live_daemons(self) -> tuple[str, ...]:
        """Names of this daemon and of the live others, none of them stopping.

        A stopping daemon leaves itself out if there are others.
        """
        return self.live.names(self.stopping)

    def owns(self, name: str) -> bool:
        """Whether this daemon is the soft owner of what has that name."""
        return (
            rendezvous_order(name, self.live_daemons)[0] == self.settings.name
        )

    def daemons_in(self, failure_domain: str) -> frozenset[str]:
        """Names of the known daemons of a failure domain, live or not."""
        return daemons_in(self.membership, failure_domain)
