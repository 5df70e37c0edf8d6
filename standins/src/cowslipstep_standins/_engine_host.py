"""One engine host: its assignment, health, orders and records."""

from __future__ import annotations

import time
from collections.abc import Iterable
from typing import Any

from attrs import define, field, frozen

from cowslipstep_standins._batch import Batch
from cowslipstep_standins._lagging import CacheEvents, LaggedLoad


@define
class EngineFaults:
    """What goes wrong on a host: set by tests.

    Attributes
    ----------
    dead
        Connections are closed without an answer.
    frozen
        Connections are held without an answer.
    leaving
        The host says that it is leaving and refuses new requests.
    slow_factor
        Multiplies the time between tokens.
    cut_after_tokens
        A stream is cut after so many tokens; negative for never.
    refuse_status
        HTTP status line of each new request; empty for none.
    """

    dead: bool = False
    frozen: bool = False
    leaving: bool = False
    slow_factor: float = 1
    cut_after_tokens: int = -1
    refuse_status: str = ''


@define
class Run:
    """Record of one request that the engine really ran."""

    request_id: str
    key: str
    digest: str
    group: str
    started_s: float
    first_token: int
    missing_members: list[str]
    tokens: int = 0
    outcome: str = 'running'


@define
class AppliedOrder:
    """Record of one order that took effect."""

    order: str
    group: str
    fence: int
    at_s: float


@frozen
class UnansweredCall:
    """A call that came while the host was dead or frozen."""

    path: str
    at_s: float


@frozen
class HostSettings:
    """Settings of a host.

    Parameters
    ----------
    fencing
        Whether orders with an old fencing number are refused.
    slots
        Requests that run at once.
    token_s
        Seconds between tokens.
    load_s
        Seconds to load weights.
    """

    fencing: bool
    slots: int
    token_s: float
    load_s: float


@define
class EngineHost:
    """State of one host."""

    name: str
    settings: HostSettings
    batch: Batch
    group: str = ''
    model: str = ''
    members: list[str] = field(factory=list)
    fence: int = 0
    ready_at_s: float = 0
    faults: EngineFaults = field(factory=EngineFaults)
    runs: list[Run] = field(factory=list)
    orders: list[AppliedOrder] = field(factory=list)
    unanswered: list[UnansweredCall] = field(factory=list)
    cache_events: CacheEvents = field(factory=CacheEvents)
    load: LaggedLoad = field(factory=LaggedLoad)

    @property
    def state(self) -> str:
        """One of ``idle``, ``loading``, ``leaving`` and ``ready``."""
        if self.faults.leaving:
            return 'leaving'
        if not self.group:
            return 'idle'
        if time.monotonic() < self.ready_at_s:
            return 'loading'
        return 'ready'

    def health(self) -> Any:
        """The document of ``GET /health``."""
        return {
            'host': self.name,
            'group': self.group,
            'model': self.model,
            'state': self.state,
            'fence': self.fence,
            'running': self.batch.running,
            'waiting': self.batch.waiting,
            'token_s': self.settings.token_s * self.faults.slow_factor,
        }

    def note_call(self, path: str) -> None:
        """Record a call if the host is dead or frozen."""
        if self.faults.dead or self.faults.frozen:
            self.unanswered.append(UnansweredCall(path, time.monotonic()))

    def apply_order(self, order: Any) -> bool:
        """Carry out an order; return false if its fence is too old."""
        fence = int(order['fence'])
        if self.settings.fencing and fence < self.fence:
            return False
        self.fence = max(self.fence, fence)
        match order['order']:
            case 'assign':
                self._assign(order)
            case 'release':
                self.group = ''
                self.model = ''
                self.members = []
        self._note(order['order'], fence)
        return True

    def _assign(self, order: Any) -> None:
        group = order['group']
        if group == self.group:
            return
        if order['model'] != self.model:
            self.ready_at_s = time.monotonic() + self.settings.load_s
        self.group = group
        self.model = order['model']
        self.members = list(order['members'])

    def _note(self, order: str, fence: int) -> None:
        applied = AppliedOrder(order, self.group, fence, time.monotonic())
        self.orders.append(applied)


def set_faults(
    known: dict[str, EngineHost],
    host: str,
    hosts: Iterable[str] = (),
    **faults: Any,
) -> None:
    """Set faults of the named ``hosts`` at one moment, else of ``host``."""
    for name in hosts or (host,):
        known[name].faults = EngineFaults(**faults)
