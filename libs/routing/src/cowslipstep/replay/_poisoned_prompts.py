"""Replay of prompts of which a part ends upstreams; seeded, no sockets.

Requests arrive at daemons and wait at an upstream for their first event. One
with a harmful part ends its upstream instead, and cuts all that wait there;
each is tried once more. Daemons learn of the failures of others late.
"""

from __future__ import annotations

import functools
import heapq
import itertools
import random
from collections.abc import Callable

from attrs import define, field

from cowslipstep.replay._poison_cases import PoisonCase, PoisonFigures
from cowslipstep.replay._poison_daemon import PoisonDaemon
from cowslipstep.replay._poison_requests import PoisonRequest, RequestSource
from cowslipstep.routing.prompts import (
    PromptFailure,
    PromptGuard,
    RecordedFailure,
)

_STEP_S = 0.05
_MIN_FIRST_EVENT_S = 0.12
_MAX_FIRST_EVENT_S = 0.38
_BACK_AFTER_S = 4
_MAX_ATTEMPTS = 2
# The users' rules count from the fifth crash on.
_JUDGED_CRASHES = 5
_STABILITY_S = 3


Call = Callable[[], None]


@define(eq=False)
class _Upstream:
    name: str
    waiting: list[PoisonRequest] = field(factory=list)


@define
class _Log:
    """What happened, with the times."""

    crashes_s: list[float] = field(factory=list)
    poisoned_s: list[float] = field(factory=list)
    sound: list[tuple[float, bool]] = field(factory=list)
    wrong_verdict_s: float = 0

    def figures(self) -> PoisonFigures:
        """Return the figures of the replay."""
        stable_s = max(self._judged_s, default=0) + _STABILITY_S
        after = [
            refused
            for at_s, refused in self.sound
            if at_s >= stable_s + _STABILITY_S
        ]
        return PoisonFigures(
            crashes=len(self.crashes_s),
            late_poisoned=self._poisoned_after(stable_s),
            sound=len(after),
            sound_refused=sum(after),
            refused=sum(refused for _, refused in self.sound),
            wrong_verdict_s=self.wrong_verdict_s,
        )

    @property
    def _judged_s(self) -> list[float]:
        return self.crashes_s[:_JUDGED_CRASHES]

    def _poisoned_after(self, stable_s: float) -> int:
        if len(self._judged_s) < _JUDGED_CRASHES:
            return 0
        return sum(at_s > stable_s for at_s in self.poisoned_s)


class _Events:
    """Calls that are due at a later time of the replay."""

    def __init__(self) -> None:
        self.now_s: float = 0
        self._due: list[tuple[float, int, Call]] = []
        self._numbers = itertools.count()

    def add(self, delay_s: float, call: Call) -> None:
        """Add a call."""
        entry = (self.now_s + delay_s, next(self._numbers), call)
        heapq.heappush(self._due, entry)

    def run_until(self, now_s: float) -> None:
        """Make the calls that are due."""
        self.now_s = now_s
        while self._due and self._due[0][0] <= now_s:
            _, _, call = heapq.heappop(self._due)
            call()


def replay_poisoned(
    case: PoisonCase, new_guard: Callable[[], PromptGuard]
) -> PoisonFigures:
    """Replay a case with a guard at each daemon."""
    replay = _Replay(case, new_guard)
    steps = round(case.duration_s / _STEP_S)
    for step in range(steps):
        replay.step(step * _STEP_S)
    return replay.log.figures()


class _Replay:  # noqa: WPS214
    def __init__(
        self, case: PoisonCase, new_guard: Callable[[], PromptGuard]
    ) -> None:
        self._case = case
        self._rng = random.Random(case.seed)
        self._source = RequestSource(case, self._rng)
        self._events = _Events()
        self._daemons = [
            PoisonDaemon(new_guard(), holds_lease=number == 0)
            for number in range(case.daemons)
        ]
        self._numbers = itertools.count(1)
        self._upstreams: list[_Upstream] = []
        self.log = _Log()
        for _ in range(case.upstreams):
            self._add_upstream()

    def step(self, now_s: float) -> None:
        """Let the time go on."""
        self._events.run_until(now_s)
        for _ in range(self._source.arriving(_STEP_S)):
            request = self._source.draw(now_s)
            guard = self._daemons[request.daemon].guard
            guard.known.add_request(request.parts)
            self._send(request)
        self._crash_by_chance()
        wrong_s = max(one.wrong_for_s(now_s) for one in self._daemons)
        self.log.wrong_verdict_s = max(self.log.wrong_verdict_s, wrong_s)

    def _add_upstream(self) -> None:
        self._upstreams.append(_Upstream(f'u{next(self._numbers)}'))

    def _send(self, request: PoisonRequest) -> None:
        admitted = self._admit(request)
        upstream = self._least_loaded()
        if not admitted or upstream is None:
            return
        if request.is_poisoned:
            self.log.poisoned_s.append(self._events.now_s)
        request.attempts += 1
        upstream.waiting.append(request)
        delay_s = self._rng.uniform(_MIN_FIRST_EVENT_S, _MAX_FIRST_EVENT_S)
        begin = functools.partial(self._begin, request, upstream)
        self._events.add(delay_s, begin)

    def _admit(self, request: PoisonRequest) -> bool:
        now_s = self._events.now_s
        has_idle = not all(one.waiting for one in self._upstreams)
        daemon = self._daemons[request.daemon]
        admitted = daemon.admits(request, now_s, has_idle=has_idle)
        if not request.is_poisoned and not request.attempts:
            self.log.sound.append((now_s, not admitted))
        return admitted

    def _least_loaded(self) -> _Upstream | None:
        free = [
            one
            for one in self._upstreams
            if len(one.waiting) < self._case.batch
        ]
        self._rng.shuffle(free)
        return min(free, key=lambda one: len(one.waiting), default=None)

    def _begin(self, request: PoisonRequest, upstream: _Upstream) -> None:
        if request not in upstream.waiting:
            return
        if request.is_poisoned:
            self.log.crashes_s.append(self._events.now_s)
            self._end(upstream)
            return
        upstream.waiting.remove(request)
        daemon = self._daemons[request.daemon]
        for part in daemon.begin_response(request, self._events.now_s):
            self._share_sound(part, next(self._numbers))

    def _share_sound(self, part: str, revision: int) -> None:
        self._share(lambda one, now_s: one.clear(part, revision, now_s))

    def _end(self, upstream: _Upstream) -> None:
        self._upstreams.remove(upstream)
        self._events.add(_BACK_AFTER_S, self._add_upstream)
        waiting = tuple(upstream.waiting)
        upstream.waiting.clear()
        for request in waiting:
            self._fail(request, upstream.name)
        for cut in waiting:
            if cut.attempts < _MAX_ATTEMPTS and not cut.is_trial:
                self._send(cut)

    def _fail(self, request: PoisonRequest, upstream: str) -> None:
        now_s = self._events.now_s
        daemon = self._daemons[request.daemon]
        parts = daemon.guard.known.unclear(request.parts, now_s)
        if parts:
            record = RecordedFailure(
                f'{request.name} at {upstream}',
                PromptFailure(request.name, parts, upstream),
                now_s,
                next(self._numbers),
            )
            daemon.learn(record, now_s)
            self._share(lambda one, later_s: one.learn(record, later_s))

    def _share(self, tell: Callable[[PoisonDaemon, float], None]) -> None:
        for daemon in self._daemons:
            delay_s = self._rng.uniform(0, self._case.evidence_delay_s)
            call = functools.partial(self._tell, daemon, tell)
            self._events.add(delay_s, call)

    def _tell(
        self, daemon: PoisonDaemon, tell: Callable[[PoisonDaemon, float], None]
    ) -> None:
        tell(daemon, self._events.now_s)

    def _crash_by_chance(self) -> None:
        period_s = self._case.other_crash_period_s
        if not period_s or not self._upstreams:
            return
        if self._rng.random() < _STEP_S / period_s:
            self._end(self._rng.choice(self._upstreams))
