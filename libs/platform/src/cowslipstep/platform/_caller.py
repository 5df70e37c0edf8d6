"""Calls that the budget and the circuit breaker admit, each recorded."""

from __future__ import annotations

import contextlib
import random
import time
from collections.abc import Iterator

from cowslipstep.model import NotRun, Reason
from cowslipstep.platform._budgets import CallBudgets
from cowslipstep.platform._call_hooks import CallObserver
from cowslipstep.platform._calls import CallOutcome, CallRecord, PlatformCall
from cowslipstep.platform._circuit_breaker import CircuitBreaker
from cowslipstep.platform._objects import (
    HistoryGone,
    ObjectMissing,
    PlatformUnavailable,
    VersionConflict,
)
from cowslipstep.platform._transport import (
    PlatformResponse,
    PlatformTransport,
)


class PlatformCaller:
    """Sends calls that the budget and the circuit breaker admit.

    Parameters
    ----------
    transport
        Sends the calls.
    budgets
        Budgets of this client.
    on_call
        Called with a record of each call, also of one that was not sent.
    """

    def __init__(
        self,
        transport: PlatformTransport,
        budgets: CallBudgets,
        on_call: CallObserver,
    ) -> None:
        self._transport = transport
        self._budgets = budgets
        self._breaker = CircuitBreaker(time.monotonic, random.Random())
        self._on_call = on_call
        self._last_response_at_s = float('-inf')

    @property
    def last_response_at_s(self) -> float:
        """Clock reading at the last response; minus infinity for none."""
        return self._last_response_at_s

    def call(self, call: PlatformCall) -> PlatformResponse:
        """Send one call and return its response.

        Raises
        ------
        VersionConflict
            If the object has another version.
        ObjectMissing
            If there is no such object.
        HistoryGone
            If the platform no longer keeps the changes to watch.
        PlatformUnavailable
            If there was no usable response, or the call was not admitted.
        """
        self._admit(call)
        with self._recorded(call):
            return self._transport.send(call)

    def _admit(self, call: PlatformCall) -> None:
        if not self._breaker.admit():
            raise self._not_sent_error(call, CallOutcome.backing_off)
        if not self._budgets.admit(call):
            raise self._not_sent_error(call, CallOutcome.over_budget)

    def _not_sent_error(
        self,
        call: PlatformCall,
        outcome: CallOutcome,
    ) -> PlatformUnavailable:
        self._on_call(CallRecord(call.method, call.kind, outcome))
        return PlatformUnavailable(
            NotRun(Reason.platform_down),
            f'{call}: not sent, {outcome}',
        )

    @contextlib.contextmanager
    def _recorded(self, call: PlatformCall) -> Iterator[None]:
        outcome = CallOutcome.answered
        try:
            yield
        except VersionConflict:
            outcome = CallOutcome.conflict
            raise
        except (ObjectMissing, HistoryGone):
            outcome = CallOutcome.missing
            raise
        except BaseException:
            outcome = CallOutcome.failed
            raise
        finally:
            self._record(call, outcome)

    def _record(self, call: PlatformCall, outcome: CallOutcome) -> None:
        self._on_call(CallRecord(call.method, call.kind, outcome))
        if outcome is CallOutcome.failed:
            self._breaker.record_failure()
            return
        self._breaker.record_success()
        self._last_response_at_s = time.monotonic()
