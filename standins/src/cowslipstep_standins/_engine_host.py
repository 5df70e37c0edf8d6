"""State of one engine host: assignment, health, commands and records."""

from __future__ import annotations

import time
from typing import Any

from attrs import define, field, frozen

from cowslipstep_standins._batch import Batch
from cowslipstep_standins._delayed_telemetry import CacheEvents, DelayedLoad


@define
class EngineFaults:
    """Faults of one host, set by tests.

    Attributes
    ----------
    dead
        Connections are closed without a response.
    frozen
        Connections stay open without a response.
    leaving
        The host reports that it is leaving and refuses new requests.
    slow_factor
        Multiplies the time between tokens.
    cut_after_tokens
        Number of tokens after which a stream is cut; negative for never.
    refuse_status
        HTTP status line with which new requests are refused; empty for
        no refusal.
    restarted
        The host loses its group, weights and fencing token.
    """

    dead: bool = False
    frozen: bool = False
    leaving: bool = False
    slow_factor: float = 1
    cut_after_tokens: int = -1
    refuse_status: str = ''
    restarted: bool = False


@define
class Run:
    """Record of one request that the engine ran, with its outcome."""

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
class AppliedCommand:
    """Record of one command that took effect."""

    order: str
    group: str
    fence: int
    at_s: float


@frozen
class UnansweredCall:
    """A call that arrived while the host was dead or frozen."""

    path: str
    at_s: float


@frozen
class HostSettings:
    """Settings of a host.

    Parameters
    ----------
    fencing
        Whether commands with an old fencing token are refused.
    slots
        Largest number of requests that run at once.
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
    """State of one host, shared by its calls.

    ``probes`` holds the remote port of each health probe, ``fence`` the
    largest fencing token of the commands since the last restart.
    """

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
    applied_commands: list[AppliedCommand] = field(factory=list)
    probes: list[str] = field(factory=list)
    unanswered: list[UnansweredCall] = field(factory=list)
    cache_events: CacheEvents = field(factory=CacheEvents)
    cache_reads: int = 0
    load: DelayedLoad = field(factory=DelayedLoad)

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
        """Return the document of ``GET /health``."""
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

    def inject_faults(self, faults: EngineFaults) -> None:
        """Replace the faults of this host."""
        self.faults = faults
        if faults.restarted:
            self.fence = 0
            self._release()

    def apply_command(self, command: Any) -> bool:
        """Apply a command; return false if its fencing token is too old."""
        fence = int(command['fence'])
        if self.settings.fencing and fence < self.fence:
            return False
        self.fence = max(self.fence, fence)
        match command['order']:
            case 'assign':
                self._assign(command)
            case 'release':
                self._release()
        self._record(command['order'], fence)
        return True

    def _release(self) -> None:
        self.group = ''
        self.model = ''
        self.members = []

    def _assign(self, command: Any) -> None:
        group = command['group']
        if group == self.group:
            return
        if command['model'] != self.model:
            self.ready_at_s = time.monotonic() + self.settings.load_s
        self.group = group
        self.model = command['model']
        self.members = list(command['members'])

    def _record(self, kind: str, fence: int) -> None:
        applied = AppliedCommand(kind, self.group, fence, time.monotonic())
        self.applied_commands.append(applied)
