"""Exhaustive search of the histories of three daemons and two cold runners.

Two daemons know each other, and a third one joins. At any time a report is
lost, late or repeated, a daemon is cut off, restarts, or is paused between
the decision on a request and its writing.
"""

from __future__ import annotations

import copy
import itertools
from collections import Counter
from collections.abc import Iterator

from attrs import evolve, frozen

from cowslipstep.routing._cold_allowance import (
    COLD_WINDOW_S,
    ColdAllowance,
    ColdLimit,
    KnownFleet,
    cold_share,
)

LIMIT = ColdLimit(per_s=4, bound=7)
_RUNNERS = ('r0', 'r1')
_FOUNDERS = frozenset('ab')
_EVERYBODY = frozenset('abc')
# Requests of two ticks may lie within a second.
_TICKS_OF_WINDOW = 2
_TICK_S = COLD_WINDOW_S / _TICKS_OF_WINDOW
_LAST_TICK = 5
_Written = tuple[tuple[int, str], ...]


@frozen
class _State:
    """A daemon, and what it wrote in the last second.

    ``pending`` is the runner of a request that is allowed but not written.
    """

    fleet: KnownFleet
    allowance: ColdAllowance
    tick: int = 0
    pending: str = ''
    written: _Written = ()
    in_touch: bool = True

    @property
    def now_s(self) -> float:
        """Time, seconds."""
        return self.tick * _TICK_S

    @property
    def recent(self) -> _Written:
        """The requests that were written in the last second."""
        first = self.tick - _TICKS_OF_WINDOW + 1
        return tuple(entry for entry in self.written if entry[0] >= first)

    @property
    def key(self) -> object:
        """What the future depends on."""
        return evolve(self, written=tuple(sorted(self.recent)))

    def at(self, tick: int) -> _State:
        """Return the state at a tick, with an allowance of its own."""
        allowance = copy.deepcopy(self.allowance)
        return evolve(self, allowance=allowance, tick=tick)

    def write(self) -> _State:
        """Write the pending request."""
        state = self.at(self.tick)
        state.allowance.record_written(self.pending, self.now_s)
        written = (*self.recent, (self.tick, self.pending))
        return evolve(state, written=written, pending='')

    def take(self, runner: str) -> _State | None:
        """Return the state with a request pending, if it is allowed."""
        dealt = LIMIT.in_touch if self.in_touch else LIMIT.cut_off
        share = cold_share(dealt, self.fleet.place(runner), self.fleet.size)
        state = self.at(self.tick)
        if state.allowance.take(runner, share, self.now_s):
            return evolve(state, pending=runner)
        return None


def worst_second(hold_ticks: int) -> int:
    """Return the most that the daemons send a runner in a second.

    Whatever happens to one daemon or its messages may happen at any time, so
    that the worst seconds of all three may be the same one.

    Parameters
    ----------
    hold_ticks
        Ticks after a restart for which a daemon sends nothing.
    """
    by_daemon = [_most_written(own, hold_ticks) for own in _EVERYBODY]
    return max(sum(most[runner] for most in by_daemon) for runner in _RUNNERS)


def _most_written(own: str, hold_ticks: int) -> Counter[str]:
    """Return the most that a daemon writes in a second, by runner."""
    most: Counter[str] = Counter()
    for state in _histories(own, hold_ticks):
        most |= Counter(runner for _, runner in state.recent)
    return most


def _histories(own: str, hold_ticks: int) -> Iterator[_State]:
    """Yield all states that a daemon can reach, each one once."""
    fleet = KnownFleet(own, _FOUNDERS - {own})
    states = [_State(fleet, ColdAllowance(starts_s=0))]
    seen: set[str] = set()
    while states:
        state = states.pop()
        key = repr(state.key)
        if state.tick <= _LAST_TICK and key not in seen:
            seen.add(key)
            yield state
            states.extend(_next_states(state, hold_ticks))


def _next_states(state: _State, hold_ticks: int) -> Iterator[_State]:
    yield state.at(state.tick + 1)
    if state.pending:
        # Nothing else happens in a paused process.
        yield state.write()
        return
    yield from filter(None, map(state.take, _RUNNERS))
    yield from _hear(state)
    # A restart takes a tick.
    restarted_s = state.now_s + _TICK_S
    yield evolve(
        state,
        tick=state.tick + 1,
        allowance=ColdAllowance(restarted_s + hold_ticks * _TICK_S),
    )


def _hear(state: _State) -> Iterator[_State]:
    """Let reports arrive in any order, again, or not at all."""
    for known, size, in_touch in itertools.product(
        (_FOUNDERS, _EVERYBODY), (0, len(_EVERYBODY)), (True, False)
    ):
        others = known - {state.fleet.own}
        if others >= state.fleet.others:
            fleet = KnownFleet(state.fleet.own, others, size)
            yield evolve(state, fleet=fleet, in_touch=in_touch)
