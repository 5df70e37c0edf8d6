"""Orders sent through daemons whose platform and upstream are simulated.

The daemons run the real code of the ledger. Platform and upstream fail at
random, and each step of a daemon may kill or pause it.
"""

from __future__ import annotations

import random
import time
import uuid

import eventlet
from attrs import define, field, frozen

from cowslipstep.daemon._forwarding_ledger import ForwardingLedger
from cowslipstep.daemon._keyed_orders import IdempotencyKey, make_order
from cowslipstep.daemon._order_claims import OrderClaims
from cowslipstep.daemon._order_execution import OrderExecution
from cowslipstep.daemon._order_ledger import OrderLedger
from cowslipstep.daemon._relay import ResponseHead
from cowslipstep.daemon._request_errors import request_error
from cowslipstep.daemon._run_state import start_run
from cowslipstep.daemon._segment_store import SegmentStore
from cowslipstep.metrics import Counters
from cowslipstep.model import (
    Completed,
    MayHaveRun,
    NotRun,
    Reason,
    RequestError,
)
from cowslipstep.peers import PeerUnreachable
from cowslipstep.platform import (
    ObjectMissing,
    PlatformUnavailable,
    StoredObject,
    VersionConflict,
)

TIMEOUT_S = 5
RETENTION_S = 3600
WRITE_TIMEOUT_S = 0.3
RECHECK_DELAYS_S = (0.01, 0.03)
DAEMON_NAMES = ('d0', 'd1', 'd2')
DOWN = NotRun(Reason.platform_down)
LOST = MayHaveRun(Reason.platform_down)
CUT = MayHaveRun(Reason.upstream_cut)
REFUSED = NotRun(Reason.upstream_refused)


@define
class SendOutcome:
    """Verdict and body that the caller received for one send of the order.

    ``runs_before`` counts the runs before the send began, ``own_runs`` those
    that the send itself caused. A send that overlaps another one may end
    with ``not_run`` although the other one runs: it counts as the earlier of
    the two.
    """

    runs_before: int
    own_runs: int = 0
    verdict: str = ''
    body: bytes = b''


@define(eq=False)
class Case:
    """Platform objects, runs and send outcomes of one seeded case."""

    rng: random.Random
    faults: bool = True
    outage_after_write: bool = False
    stored: dict = field(factory=dict)
    version: int = 0
    outage: bool = False
    runs: list = field(factory=list)
    outcomes: list = field(factory=list)
    daemons: dict = field(factory=dict)
    key: str = 'order 1'

    @property
    def entered(self) -> bool:
        """Whether a segment holds the entry of an order."""
        return any(body != '{}' for _, body in self.stored.values())

    def record_run(self, run) -> None:
        """Count a run of the order that a send caused."""
        self.runs.append(f'answer {len(self.runs)}'.encode())
        run.attempted_upstreams.append('ran')

    def chance(self, percent: int) -> bool:
        """Return true in ``percent`` of all calls, never without faults."""
        return self.faults and self.rng.randrange(100) < percent

    def loses_response(self) -> bool:
        """Return whether the platform's response to a write is lost."""
        if not self.outage_after_write:
            return self.chance(15)
        self.outage_after_write = False
        self.outage = True
        return True

    def choose(self, usual, unusual):
        """Choose an outcome; the unusual ones only if faults are on."""
        return self.rng.choice([*usual, *unusual] if self.faults else usual)

    def store(self, key, version, body) -> bool:
        """Replace an object if it has the expected version."""
        known, _ = self.stored.get(key, (None, ''))
        if known != version:
            return False
        self.version += 1
        self.stored[key] = (self.version, body)
        return True


@frozen
class Settings:
    """Settings of a daemon: its name."""

    name: str


@define
class State:
    """The part of a daemon's state that the forwarding ledger uses."""

    settings: Settings
    live_daemons: tuple[str, ...] = DAEMON_NAMES
    handle_order_ledger_call: object = None
    configuration: object = None


@frozen
class Links:
    """Links that may delay calls and lose replies."""

    case: Case

    def call(self, owner, call, _timeout_s):
        """Send a call to the owner of a segment."""
        replied = eventlet.Event()
        peer = self.case.daemons[owner]
        delay_s = self.case.choose([0, 0], [0.002, 0.1])
        eventlet.spawn_after(delay_s, peer.forwarding.serve, call, replied.send)
        if not self.case.chance(10):
            with eventlet.Timeout(0.05, False):
                return replied.wait()
        raise PeerUnreachable(owner)


class Daemon:
    """A daemon that may be killed at each step."""

    def __init__(self, case: Case, name: str) -> None:
        self._case = case
        self._killed = False
        self.isolated = False
        self.last_response_at_s = float('-inf')
        ledger = OrderLedger(SegmentStore(self), WRITE_TIMEOUT_S, 0.01)
        state = State(Settings(name))
        self.forwarding = ForwardingLedger(state, ledger, Links(case))
        self.claims = OrderClaims(self.forwarding, RECHECK_DELAYS_S)
        self.execution = OrderExecution(self.claims, Counters())

    def step(self) -> None:
        """Let the other tasks run; then perhaps be killed or pause."""
        eventlet.sleep(self._case.rng.random() / 1000)
        self._killed = self._killed or self._case.chance(2)
        if self._killed:
            eventlet.Event().wait()
        if self._case.chance(3):
            eventlet.sleep(self._case.rng.random() / 20)

    def read(self, key):
        """Read an object."""
        self._call()
        if key not in self._case.stored:
            raise ObjectMissing(str(key))
        version, body = self._case.stored[key]
        return StoredObject(key, version, body)

    def create(self, key, body):
        """Create an object."""
        self._write(key, None, body)

    def update(self, key, version, body):
        """Replace an object of that version."""
        self._write(key, version, body)

    def _call(self) -> None:
        self.step()
        if self.isolated or self._case.outage or self._case.chance(3):
            raise PlatformUnavailable(DOWN, 'no connection')
        self.last_response_at_s = time.monotonic()

    def _write(self, key, version, body) -> None:
        self._call()
        if self._case.chance(10):
            # The write times out but takes effect later.
            delay_s = self._case.rng.random() / 10
            eventlet.spawn_after(delay_s, self._case.store, key, version, body)
            raise PlatformUnavailable(LOST, 'timed out')
        if not self._case.store(key, version, body):
            raise VersionConflict(str(key))
        if self._case.loses_response():
            raise PlatformUnavailable(LOST, 'response lost')
        self.step()


def send_upstream(case, daemon, run):
    """Send the order to an upstream that may refuse, interrupt or run it."""
    daemon.step()
    if run.overdue:
        raise request_error(NotRun(Reason.deadline), 'too late')
    run.record_sending()
    ending = case.choose(['run', 'run'], ['refuse', 'cut early', 'cut late'])
    if ending == 'refuse':
        run.record_failure(REFUSED)
        raise request_error(run.verdict, ending)
    if ending != 'cut early':
        case.record_run(run)
    daemon.step()
    if ending != 'run':
        run.record_failure(CUT)
        raise request_error(run.verdict, ending)
    run.verdict = Completed()
    yield ResponseHead(200, 'text/plain', len(case.runs[-1]))
    yield case.runs[-1]


def send(case, daemon, run_once, first_send) -> None:
    """Send the order through a daemon and record the outcome."""
    run = start_run(TIMEOUT_S)
    outcome = SendOutcome(runs_before=len(case.runs))
    pieces = send_upstream(case, daemon, run)
    response = run_once(daemon)(new_order(case, first_send), pieces, run)
    try:
        outcome.body = list(response)[-1]
    except RequestError as error:
        run.verdict = error.verdict
    outcome.verdict = run.verdict.code
    outcome.own_runs = len(run.attempted_upstreams)
    case.outcomes.append(outcome)


def new_order(case, first_send):
    """Return the order of a case with a new claim."""
    key = IdempotencyKey('joiners', case.key, first_send)
    return make_order(key, (b'two mallets',), RETENTION_S)


def uuid7_key(number: int = 0) -> str:
    """Return a version 7 UUID issued now."""
    issued = int(time.time() * 1000) << 80
    version = 7 << 76
    variant = 2 << 62
    return str(uuid.UUID(int=issued + version + variant + number))


def with_ledger(daemon):
    """Run an order at most once, under a claim in the ledger."""
    return daemon.execution.run


def start_daemons(case: Case) -> Daemon:
    """Start the daemons of a case and return the first one."""
    case.daemons = {name: Daemon(case, name) for name in DAEMON_NAMES}
    return case.daemons[DAEMON_NAMES[0]]


def case_without_faults() -> Case:
    """Return a case with only those faults that a test sets."""
    return Case(random.Random(1), faults=False)
