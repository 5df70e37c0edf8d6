"""Replay of a cold runner before many daemons that learn of each other late.

Each daemon decides by its own view. Daemons join, restart, are paused while
they write a request, and are cut off; reports about new daemons are delayed
or lost. The runner is cold all the time.
"""

from __future__ import annotations

import bisect
import functools
import random

from attrs import Factory, define, field, frozen

from cowslipstep.replay._event_scheduler import EventScheduler
from cowslipstep.routing._cold_allowance import (
    COLD_START_HOLD_S,
    ColdAllowance,
    ColdLimit,
    KnownFleet,
    cold_share,
)

_RUNNER = 'runner'
# Time until a report about a new daemon has reached another one.
_REPORT_DELAYS_S = (0.2, 2.5)
_LOST_REPORT_SHARE = 0.2
# A daemon notices within this time that it hears of no other one.
_CUT_OFF_DELAY_S = 1.5
_HALF = 0.5
_LATE_WRITE_SHARE = 0.05
_WRITE_DELAYS_S = (0, 1.5)


@frozen
class ColdCase:
    """Requests to a cold runner.

    Parameters
    ----------
    limit
        Requests that the runner may get.
    daemons
        Number of daemons at the start.
    joining
        Number of daemons that join.
    requests_per_s
        Mean rate of requests at each daemon; they arrive at random.
    faults_per_s
        Mean rate of restarts, and of daemons that are cut off.
    hold_s
        Time after a start for which a daemon sends nothing to the runner.
    length_s
        Duration, seconds.
    seed
        Seed of all that is random.
    """

    limit: ColdLimit
    daemons: int
    joining: int = 0
    requests_per_s: float = 3
    faults_per_s: float = 0
    hold_s: float = COLD_START_HOLD_S
    length_s: float = 20
    seed: int = 0


def replay_cold_runner(case: ColdCase) -> list[float]:
    """Return when requests were sent to the runner, in order, seconds."""
    replay = _ColdReplay(case)
    replay.play()
    return replay.sent_s


def busiest_second(sent_s: list[float]) -> int:
    """Return the largest number of requests in any second."""
    return max(
        (
            bisect.bisect_right(sent_s, start_s + 1) - first
            for first, start_s in enumerate(sent_s)
        ),
        default=0,
    )


@define
class _Daemon:
    fleet: KnownFleet
    allowance: ColdAllowance
    in_touch: bool = True

    def hear(self, everybody: frozenset[str], *, names_too: bool) -> None:
        """Hear of the number of daemons, or of their names as well."""
        if not self.in_touch:
            return
        own = self.fleet.own
        others = everybody - {own} if names_too else self.fleet.others
        self.fleet = KnownFleet(own, others, len(everybody))

    def share(self, limit: ColdLimit) -> int:
        dealt = limit.in_touch if self.in_touch else limit.cut_off
        return cold_share(dealt, self.fleet.place(_RUNNER), self.fleet.size)


@define
class _ColdReplay:
    case: ColdCase
    sent_s: list[float] = field(factory=list)
    _scheduler: EventScheduler = field(factory=EventScheduler)
    _daemons: dict[str, _Daemon] = field(factory=dict)
    _rng: random.Random = field(
        default=Factory(
            lambda replay: random.Random(replay.case.seed), takes_self=True
        )
    )

    def play(self) -> None:
        """Let requests arrive, daemons join and faults happen."""
        total = self.case.daemons + self.case.joining
        prefix = str(self.case.seed)
        names = [f'{prefix}-{number}' for number in range(total)]
        for name in names[: self.case.daemons]:
            self._add(name, frozenset(names[: self.case.daemons]))
        for joining in names[self.case.daemons :]:
            self._scheduler.schedule(
                self._rng.uniform(0, self.case.length_s / 2),
                functools.partial(self._join, joining),
            )
        if self.case.faults_per_s:
            self._scheduler.schedule(0, self._fail)
        self._scheduler.run_until(self.case.length_s)
        self.sent_s.sort()

    def _after(self, delay_s: float, action: functools.partial[None]) -> None:
        self._scheduler.schedule(self._scheduler.clock() + delay_s, action)

    def _add(self, name: str, known: frozenset[str]) -> None:
        self._daemons[name] = _Daemon(
            KnownFleet(name, known - {name}),
            ColdAllowance(self._scheduler.clock() + self.case.hold_s),
        )
        self._arrive(name)

    def _join(self, name: str) -> None:
        self._add(name, frozenset((*self._daemons, name)))
        everybody = frozenset(self._daemons)
        for other in self._daemons.values():
            if self._rng.random() >= _LOST_REPORT_SHARE:
                self._after(
                    self._rng.uniform(*_REPORT_DELAYS_S),
                    functools.partial(
                        other.hear,
                        everybody,
                        names_too=self._rng.random() < _HALF,
                    ),
                )

    def _fail(self) -> None:
        daemon = self._rng.choice(list(self._daemons.values()))
        if self._rng.random() < _HALF:
            daemon.allowance = ColdAllowance(
                self._scheduler.clock() + self.case.hold_s
            )
        else:
            self._after(
                _CUT_OFF_DELAY_S,
                functools.partial(setattr, daemon, 'in_touch', False),
            )
        self._after(
            self._rng.expovariate(self.case.faults_per_s),
            functools.partial(self._fail),
        )

    def _arrive(self, name: str) -> None:
        self._after(
            self._rng.expovariate(self.case.requests_per_s),
            functools.partial(self._arrive, name),
        )
        daemon = self._daemons[name]
        share = daemon.share(self.case.limit)
        if not daemon.allowance.take(_RUNNER, share, self._scheduler.clock()):
            return
        delay_s: float = 0
        if self._rng.random() < _LATE_WRITE_SHARE:
            delay_s = self._rng.uniform(*_WRITE_DELAYS_S)
        self._after(delay_s, functools.partial(self._write, daemon.allowance))

    def _write(self, allowance: ColdAllowance) -> None:
        now_s = self._scheduler.clock()
        self.sent_s.append(now_s)
        allowance.record_written(_RUNNER, now_s)
