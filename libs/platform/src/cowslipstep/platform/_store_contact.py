"""What the outcomes of calls show of the store."""

from __future__ import annotations

import random
import time

from cowslipstep.platform._calls import CallOutcome
from cowslipstep.platform._circuit_breaker import CircuitBreaker
from cowslipstep.platform._objects import (
    HistoryGone,
    ObjectMissing,
    PlatformUnavailable,
    VersionConflict,
)
from cowslipstep.platform._store_eras import StoreEras
from cowslipstep.platform._watch_doubts import (
    WatchDoubts,
    WatchGivenUp,
)


class StoreContact:
    """Whether the store responds: circuit breaker, doubts of watches, eras."""

    def __init__(self) -> None:
        self._breaker = CircuitBreaker(time.monotonic, random.Random())
        self._doubts = WatchDoubts(time.monotonic)
        self._eras = StoreEras([self._doubts.doubt_restored])
        self._last_response_at_s = float('-inf')

    @property
    def eras(self) -> StoreEras:
        """Eras that the responses of the store name."""
        return self._eras

    @property
    def doubts(self) -> WatchDoubts:
        """Which pending watch calls may never get a response."""
        return self._doubts

    @property
    def last_response_at_s(self) -> float:
        """Clock reading at the last response; minus infinity for none."""
        return self._last_response_at_s

    def admit(self) -> bool:
        """Return whether a call may be sent now."""
        return self._breaker.admit()

    def record_response(self, sent_at_s: float) -> None:
        """Record a response, also one that refuses the call."""
        self._breaker.record_success()
        self._doubts.record_response(sent_at_s)
        self._last_response_at_s = time.monotonic()

    def record_error(
        self, error: BaseException, sent_at_s: float
    ) -> CallOutcome:
        """Record the error of a call; return its outcome."""
        match error:
            case VersionConflict():
                self.record_response(sent_at_s)
                return CallOutcome.conflict
            case ObjectMissing() | HistoryGone():
                self.record_response(sent_at_s)
                return CallOutcome.missing
            case WatchGivenUp():
                self._doubts.given_up += 1
                return CallOutcome.given_up
            case PlatformUnavailable(is_silent=True):
                self._doubts.record_no_response()
        self._breaker.record_failure()
        return CallOutcome.failed
