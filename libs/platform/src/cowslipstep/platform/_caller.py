"""Calls that the budget and the circuit breaker admit, each recorded."""

from __future__ import annotations

import contextlib
import time
from collections.abc import Iterator

from attrs import evolve

from cowslipstep.model import NotRun, Reason
from cowslipstep.platform._budgets import CallBudgets
from cowslipstep.platform._call_hooks import CallObserver
from cowslipstep.platform._calls import CallOutcome, CallRecord, PlatformCall
from cowslipstep.platform._objects import PlatformUnavailable
from cowslipstep.platform._store_contact import StoreContact
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
        self._contact = StoreContact()
        self._on_call = on_call

    @property
    def contact(self) -> StoreContact:
        """What the outcomes of calls show of the store."""
        return self._contact

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
            response = self._transport.send(call)
            # Responses that refuse a call name the era, too.
            era = self._contact.eras.observe(response.era)
            return self._transport.checked(evolve(response, era=era), call)

    def _admit(self, call: PlatformCall) -> None:
        if not self._contact.admit():
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
        sent_at_s = time.monotonic()
        try:
            yield
        except BaseException as error:
            outcome = self._contact.record_error(error, sent_at_s)
            self._on_call(CallRecord(call.method, call.kind, outcome))
            raise
        self._contact.record_response(sent_at_s)
        self._on_call(CallRecord(call.method, call.kind, CallOutcome.answered))
