"""Keyed orders through daemons whose platform and upstream are fakes.

The daemons are the real ledger code; platform and upstream fail at random
and at each step may kill or pause the daemon that calls them.
"""

from __future__ import annotations

import random
import time
import uuid

import eventlet
from attrs import define, field, frozen

from cowslipstep.daemon._keyed import KeyedRuns
from cowslipstep.daemon._keyed_orders import KeyUse, keyed_order
from cowslipstep.daemon._order_claims import OrderClaims
from cowslipstep.daemon._order_ledger import OrderLedger
from cowslipstep.daemon._relay import ResponseHead
from cowslipstep.daemon._run_state import start_run
from cowslipstep.daemon._segment_store import SegmentStore
from cowslipstep.daemon._shared_ledger import SharedLedger
from cowslipstep.daemon._stream_errors import failed_request
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
LOOK_AGAIN_S = (0.01, 0.03)
NAMES = ('d0', 'd1', 'd2')
DOWN = NotRun(Reason.platform_down)
LOST = MayHaveRun(Reason.platform_down)
CUT = MayHaveRun(Reason.upstream_cut)
REFUSED = NotRun(Reason.upstream_refused)


@define
class Answer:
    """What the caller of one send saw.

    ``runs_before`` counts the runs before the send began, ``own_runs`` those
    that the send itself caused. A send that overlaps another may be answered
    ``not_run`` while the other one runs: it stands before it.
    """

    runs_before: int
    own_runs: int = 0
    verdict: str = ''
    body: bytes = b''


@define(eq=False)
class Case:
    """Objects, runs and answers of one seeded case."""

    rng: random.Random
    faults: bool = True
    outage_follows: bool = False
    stored: dict = field(factory=dict)
    version: int = 0
    outage: bool = False
    runs: list = field(factory=list)
    answers: list = field(factory=list)
    daemons: dict = field(factory=dict)
    key: str = 'order 1'

    @property
    def entered(self) -> bool:
        """Whether an object holds the entry of an order."""
        return any(body != '{}' for _, body in self.stored.values())

    def ran(self, run) -> None:
        """Note that a send made the upstream run the order."""
        self.runs.append(f'answer {len(self.runs)}'.encode())
        run.avoid.append('ran')

    def chance(self, percent: int) -> bool:
        """Say yes in so many of a hundred cases."""
        return self.faults and self.rng.randrange(100) < percent

    def loses_answer(self) -> bool:
        """Say whether the answer of a write is lost."""
        if not self.outage_follows:
            return self.chance(15)
        self.outage_follows = False
        self.outage = True
        return True

    def choose(self, usual, unusual):
        """Choose between what is usual and what a fault brings."""
        return self.rng.choice([*usual, *unusual] if self.faults else usual)

    def store(self, key, version, body) -> bool:
        """Replace an object if it still has a version."""
        known, _ = self.stored.get(key, (None, ''))
        if known != version:
            return False
        self.version += 1
        self.stored[key] = (self.version, body)
        return True


@frozen
class Settings:
    """Name of a daemon."""

    name: str


@define
class State:
    """What the shared ledger needs to know of its daemon."""

    settings: Settings
    live_daemons: tuple[str, ...] = NAMES
    ledger_calls: object = None
    configuration: object = None


@frozen
class Links:
    """Links whose calls may come late and whose replies may be lost."""

    case: Case

    def call(self, owner, call, _timeout_s):
        """Send a call to the owner of a segment."""
        replied = eventlet.Event()
        peer = self.case.daemons[owner]
        delay_s = self.case.choose([0, 0], [0.002, 0.1])
        eventlet.spawn_after(delay_s, peer.shared.serve, call, replied.send)
        if not self.case.chance(10):
            with eventlet.Timeout(0.05, False):
                return replied.wait()
        raise PeerUnreachable(owner)


class Daemon:
    """One daemon, whose every step may be its last."""

    def __init__(self, case: Case, name: str) -> None:
        self._case = case
        self._dead = False
        self.cut_off = False
        self.answered_at_s = float('-inf')
        ledger = OrderLedger(SegmentStore(self), WRITE_TIMEOUT_S, 0.01)
        state = State(Settings(name))
        self.shared = SharedLedger(state, ledger, Links(case))
        self.claims = OrderClaims(self.shared, LOOK_AGAIN_S)
        self.keyed = KeyedRuns(self.claims, Counters())

    def step(self) -> None:
        """Let others go on; then perhaps pause or die."""
        eventlet.sleep(self._case.rng.random() / 1000)
        self._dead = self._dead or self._case.chance(2)
        if self._dead:
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
        if self.cut_off or self._case.outage or self._case.chance(3):
            raise PlatformUnavailable(DOWN, 'no connection')
        self.answered_at_s = time.monotonic()

    def _write(self, key, version, body) -> None:
        self._call()
        if self._case.chance(10):
            # The change takes effect after the writer has given it up.
            delay_s = self._case.rng.random() / 10
            eventlet.spawn_after(delay_s, self._case.store, key, version, body)
            raise PlatformUnavailable(LOST, 'timed out')
        if not self._case.store(key, version, body):
            raise VersionConflict(str(key))
        if self._case.loses_answer():
            raise PlatformUnavailable(LOST, 'answer lost')
        self.step()


def send_upstream(case, daemon, run):
    """Send the order to an upstream that may refuse, cut or run it."""
    daemon.step()
    if run.overdue:
        raise failed_request(NotRun(Reason.deadline), 'too late')
    run.note_sending()
    fate = case.choose(['run', 'run'], ['refuse', 'cut early', 'cut late'])
    if fate == 'refuse':
        run.note_failure(REFUSED)
        raise failed_request(run.verdict, fate)
    if fate != 'cut early':
        case.ran(run)
    daemon.step()
    if fate != 'run':
        run.note_failure(CUT)
        raise failed_request(run.verdict, fate)
    run.verdict = Completed()
    yield ResponseHead(200, 'text/plain', len(case.runs[-1]))
    yield case.runs[-1]


def send(case, daemon, run_once, first_send) -> None:
    """Send the order through a daemon and note the answer."""
    run = start_run(TIMEOUT_S)
    answer = Answer(runs_before=len(case.runs))
    pieces = send_upstream(case, daemon, run)
    answers = run_once(daemon)(new_order(case, first_send), pieces, run)
    try:
        answer.body = list(answers)[-1]
    except RequestError as error:
        run.verdict = error.verdict
    answer.verdict = run.verdict.code
    answer.own_runs = len(run.avoid)
    case.answers.append(answer)


def new_order(case, first_send):
    """Return a new attempt of the one order of a case."""
    use = KeyUse('joiners', case.key, first_send)
    return keyed_order(use, (b'two mallets',), RETENTION_S)


def timed_key(number: int = 0) -> str:
    """Return a version 7 UUID."""
    issued = int(time.time() * 1000) << 80
    version = 7 << 76
    variant = 2 << 62
    return str(uuid.UUID(int=issued + version + variant + number))


def with_ledger(daemon):
    """Run an order under the rules of the ledger."""
    return daemon.keyed.run


def some_daemons(case: Case) -> Daemon:
    """Start the daemons of a case and return the first one."""
    case.daemons = {name: Daemon(case, name) for name in NAMES}
    return case.daemons[NAMES[0]]


def quiet_case() -> Case:
    """Return a case in which nothing fails unless a test says so."""
    return Case(random.Random(1), faults=False)
