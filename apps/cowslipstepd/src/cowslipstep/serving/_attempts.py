"""Attempts of requests, and what takes over from a silent one."""

from __future__ import annotations

import contextlib
import functools
import math
from collections.abc import Iterator

import eventlet
from attrs import evolve

from cowslipstep.daemon._read_limits import Silence
from cowslipstep.daemon._upstream_failures import UpstreamFailure
from cowslipstep.model import MayHaveRun, Reason
from cowslipstep.serving._attempt import Attempt
from cowslipstep.serving._attempt_records import AttemptRecords
from cowslipstep.serving._delivery_state import (
    DeliveryState,
    may_run_elsewhere,
)
from cowslipstep.serving._request_log import log_attempt
from cowslipstep.serving._response_steps import ResponseStep, StreamedEvents
from cowslipstep.serving._state import ServingState
from cowslipstep.serving._substitute_choice import SubstituteChoice
from cowslipstep.serving._substitute_log import (
    log_substitute_ended,
    unexpected_failure,
)
from cowslipstep.serving._upstream_choice import ChosenUpstream
from cowslipstep.serving._upstream_sender import UpstreamSender

# Time between two searches for an upstream that goes on with a request.
SEARCH_PERIOD_S = 0.1
# Time for which a substitute goes before a silent upstream that sends events
# again.
_SUBSTITUTE_LEAD_S = 0.5


class TakenOver(Exception):
    """The substitute has begun to respond in place of the silent attempt."""


class Attempts:
    """Begins attempts, and others beside those that are silent.

    Parameters
    ----------
    state
        State of the daemon.
    records
        Records failed and silent attempts.
    substitutes
        Chooses the upstreams beside silent ones.
    """

    def __init__(
        self,
        state: ServingState,
        records: AttemptRecords,
        substitutes: SubstituteChoice,
    ) -> None:
        self._state = state
        self._records = records
        self._substitutes = substitutes
        self._sender = UpstreamSender(state)

    def begin(self, delivery: DeliveryState, chosen: ChosenUpstream) -> Attempt:
        """Return a new attempt; it sends once its steps are iterated.

        The steps raise ``UpstreamFailure`` if it fails, and ``TakenOver`` if
        its substitute goes on with the request.
        """
        delivery.attempts += 1
        if delivery.is_trial:
            self._state.harmful_prompts.begin_trial(delivery.routed.request)
            # Later attempts, such as a resumption, are like any other.
            delivery.is_trial = False
            delivery.needs_idle_upstream = False
        log_attempt(self._state, delivery, chosen)
        attempt = Attempt(chosen)
        silence = Silence(
            chosen.response_timeout_s,
            functools.partial(self._try_elsewhere, delivery, attempt),
            attempt.interruption,
        )
        attempt.steps = self._sender.send(delivery, chosen, silence)
        return attempt

    @contextlib.contextmanager
    def reading(
        self, delivery: DeliveryState, attempt: Attempt
    ) -> Iterator[None]:
        """Read an attempt, then close it and what is left beside it."""
        try:
            yield
        finally:
            self.end_substitute(delivery, attempt)
            attempt.close()

    def let_go_on(
        self, delivery: DeliveryState, silent: Attempt, step: ResponseStep
    ) -> None:
        """Let an attempt go on with a step, and end the one beside it.

        Raises
        ------
        TakenOver
            If the substitute responds in its first moments: an upstream that
            was silent once may be slow. Events wait for that, an end does not.
        """
        match step, silent.substitute:
            case StreamedEvents(), Attempt() as substitute:
                substitute.wait_begun(_SUBSTITUTE_LEAD_S)
                if substitute.first_step is not None:
                    raise TakenOver
        self.end_substitute(delivery, silent)

    def end_substitute(self, delivery: DeliveryState, silent: Attempt) -> None:
        """End the attempt beside a silent one that goes on, if there is one."""
        substitute = silent.substitute
        if substitute is None:
            return
        silent.substitute = None
        silent.interruption.cancel()
        substitute.close()
        delivery.possible_runs.add(substitute.chosen.runner.name)
        log_substitute_ended(delivery, substitute.chosen)

    def _try_elsewhere(
        self, delivery: DeliveryState, attempt: Attempt
    ) -> float:
        """Let another upstream respond beside a silent one if it can.

        A sound upstream may go on after a silence, so its attempt is read on
        until another one responds. Returns the time until the next call.

        Raises
        ------
        UpstreamFailure
            If the request still waits for another silent upstream: two that
            wait for the same queues would only add to the load.
        """
        if attempt.chosen.is_substitute:
            raise UpstreamFailure(
                MayHaveRun(Reason.upstream_timeout), 'the upstream is silent'
            )
        if attempt.substitute is not None:
            return SEARCH_PERIOD_S
        if not attempt.is_silent:
            if not may_run_elsewhere(delivery):
                return math.inf
            self._records.record_silence(delivery, attempt)
        chosen = self._substitutes.choose(delivery)
        if chosen is None:
            # Places that become free are for new requests as well; only a
            # response that the caller has a part of is worth the search.
            return SEARCH_PERIOD_S if delivery.response_begun else math.inf
        attempt.substitute = self.begin(delivery, chosen)
        attempt.substitute.task = eventlet.spawn(
            self._begin_substitute, delivery, attempt, attempt.substitute
        )
        return SEARCH_PERIOD_S

    def _begin_substitute(
        self, delivery: DeliveryState, silent: Attempt, substitute: Attempt
    ) -> None:
        """Wait for a substitute's response, in a task of its own."""
        try:
            substitute.read_first_step()
        except UpstreamFailure as failure:
            silent.substitute = None
            self._records.record_failure(delivery, substitute, failure)
        except Exception as error:
            silent.substitute = None
            self._records.record_failure(
                delivery, substitute, unexpected_failure(delivery, error)
            )
        if substitute.first_step is not None:
            substitute.chosen = evolve(substitute.chosen, begins_by_s=math.inf)
            silent.interruption.interrupt(TakenOver())
