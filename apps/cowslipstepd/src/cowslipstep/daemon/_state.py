"""State that the tasks of a daemon share."""

from __future__ import annotations

import time
from collections.abc import Callable

from attrs import Factory, define, field

from cowslipstep.daemon._caller_memory import CallerMemory
from cowslipstep.daemon._live_daemons import LiveDaemons, daemons_in
from cowslipstep.daemon._logs import log_event
from cowslipstep.daemon._membership import Membership
from cowslipstep.daemon._order_ledger_calls import (
    OrderLedgerCallHandler,
    refuse_order_ledger_call,
)
from cowslipstep.daemon._own_limits import caller_memory
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
    incarnation
        Start of this daemon, nanoseconds; a later run has a higher one.
    versioned
        The configuration in force, if one is known.
    document
        Text of the configuration in force, for peers with an older one.
    ledgers
        Ledgers of groups by fabric domain, as last read.
    membership
        Directory entries and liveness of the other daemons.
    live
        Names of the daemons that are alive.
    traffic
        Bytes and frames exchanged with other daemons.
    readiness
        Until when each group is ready, as reported by probing daemons.
    events
        Events of groups, leases and drains, for operators.
    requests
        Requests that were refused or whose outcome is uncertain.
    caller_memory
        Budget for what callers make this process hold.
    stopping
        Whether a planned stop has begun.
    intake_closed
        Whether a planned stop refuses new requests.
    handle_order_ledger_call
        Handles the calls of other daemons to the order ledger.
    stop_hooks
        Called when a planned stop begins.
    end_hooks
        Called at the end of a planned stop, when no request is in progress
        or the grace period is over.
    confirmed
        Whether the newest configuration was in force once since the start;
        before, no requests are accepted.
    isolated
        Whether neither the platform nor a peer has answered for long; the
        daemon is unready then.
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
    caller_memory: CallerMemory = field(
        default=Factory(
            lambda state: caller_memory(state.settings),
            takes_self=True,
        ),
    )
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
        """Whether load balancers should send requests to this daemon."""
        return self.accepts_requests and not (self.stopping or self.isolated)

    @property
    def accepts_requests(self) -> bool:
        """Whether requests that arrive are served."""
        return self.confirmed and not self.intake_closed

    @property
    def live_daemons(self) -> tuple[str, ...]:
        """Names of the live daemons, with this one, that are not stopping.

        If this one is stopping, it is left out unless no other is alive.
        """
        return self.live.names(self.stopping)

    def owns(self, name: str) -> bool:
        """Whether this daemon is the soft owner of a name, such as a cell.

        The soft owner is chosen by rendezvous hashing of the live daemons,
        without a lock: while their views differ, two may own one name.
        """
        return (
            rendezvous_order(name, self.live_daemons)[0] == self.settings.name
        )

    def daemons_in(self, failure_domain: str) -> frozenset[str]:
        """Names of the known daemons of a failure domain, live or not."""
        return daemons_in(self.membership, failure_domain)
