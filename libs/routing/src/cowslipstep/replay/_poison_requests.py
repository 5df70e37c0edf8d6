"""Requests of a replay, some with a harmful part."""

from __future__ import annotations

import itertools
import random

from attrs import define

from cowslipstep.replay._poison_cases import PoisonCase

HARMFUL_PARTS = ('harmful', 'deadly')
_FIRST_PARTS = 2
_CALLERS = 24
_COMPANION = 'companion'
_COMPANION_SHARE = 0.1


@define(eq=False)
class PoisonRequest:
    """A request of a replay.

    Attributes
    ----------
    name
        Its id.
    parts
        Parts of its prompt.
    daemon
        Number of the daemon that it reached.
    attempts
        Attempts so far.
    is_trial
        Whether it is tried although its prompt is refused.
    """

    name: str
    parts: tuple[str, ...]
    daemon: int
    attempts: int = 0
    is_trial: bool = False

    @property
    def is_poisoned(self) -> bool:
        """Whether it ends the upstream that begins to respond."""
        return not set(HARMFUL_PARTS).isdisjoint(self.parts)


class RequestSource:
    """Draws requests.

    Parameters
    ----------
    case
        What is replayed.
    rng
        Source of all choices.
    """

    def __init__(self, case: PoisonCase, rng: random.Random) -> None:
        self._case = case
        self._rng = rng
        self._numbers = itertools.count(1)

    def arriving(self, period_s: float) -> int:
        """Return how many requests arrive within a period."""
        expected = self._case.requests_per_s * period_s
        whole = int(expected)
        return whole + (self._rng.random() < expected - whole)

    def draw(self, now_s: float) -> PoisonRequest:
        """Return a request that arrives at a moment."""
        number = next(self._numbers)
        parts = (*self._common_parts(), *self._last_parts(number, now_s))
        daemon = self._rng.randrange(self._case.daemons)
        return PoisonRequest(f'r{number}', parts, daemon)

    def _common_parts(self) -> tuple[str, ...]:
        first = self._rng.randrange(_FIRST_PARTS)
        caller = self._rng.randrange(_CALLERS)
        numbers = range(1, self._case.common_parts)
        return (f'f{first}', *(f'c{caller}-{number}' for number in numbers))

    def _last_parts(self, number: int, now_s: float) -> tuple[str, ...]:
        is_poisoned = self._rng.random() < self._case.poisoned_share
        companion = (_COMPANION,) if self._case.with_companion else ()
        if is_poisoned and now_s >= self._case.calm_s:
            harmful = HARMFUL_PARTS[: self._case.harmful_parts]
            return (*companion, self._rng.choice(harmful))
        if self._rng.random() < _COMPANION_SHARE:
            return (*companion, f'own{number}')
        return (f'own{number}',)
