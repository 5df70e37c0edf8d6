"""Attempts of requests, and what takes over from a silent one."""

from __future__ import annotations

import functools
import math
from collections.abc import Iterator

from attrs import define, evolve

from cowslipstep.daemon._upstream_failures import (
    ConnectionEnded,
    NotSent,
    UpstreamFailure,
)
from cowslipstep.model import Reason
from cowslipstep.serving._delivery_state import (
    DeliveryState,
    may_run_elsewhere,
)
from cowslipstep.serving._metrics import RequestMetrics
from cowslipstep.serving._refusals import present_refusal
from cowslipstep.serving._request_log import (
    log_attempt,
    log_failure,
    log_not_sent,
    log_silence,
)
from cowslipstep.serving._state import ServingState
from cowslipstep.serving._upstream_choice import ChosenUpstream, UpstreamChoice
from cowslipstep.serving._upstream_sender import (
    ResponsePart,
    UpstreamSender,
    fail_on_silence,
)

# Includes refused attempts, which do not count as runs of the request; limits
# the time spent on refusals.
MAX_ATTEMPTS = 5
# Time between two searches for an upstream that goes on with a request.
SEARCH_PERIOD_S = 0.1
# Part of the remaining time that a substitute may take to begin its response;
# the silent upstream may go on meanwhile.
_SUBSTITUTE_TIME_SHARE = 0.5


@define
class Attempt:
    """One attempt of a request.

    Attributes
    ----------
    chosen
        Its upstream.
    parts
        What it yields of the response.
    is_silent
        Whether its upstream has been silent.
    """

    chosen: ChosenUpstream
    parts: Iterator[ResponsePart] = iter(())
    is_silent: bool = False


class TakenOver(Exception):
    """Another attempt has begun to respond in place of a silent one."""

    def __init__(self, attempt: Attempt) -> None:
        super().__init__(attempt.chosen.runner.name)
        self._attempt = attempt

    @property
    def attempt(self) -> Attempt:
        """The attempt that has begun to respond."""
        return self._attempt


class Attempts:
    """Begins attempts and records what becomes of them.

    Parameters
    ----------
    state
        State of the daemon.
    metrics
        Counts failed and silent attempts.
    choice
        Chooses upstreams.
    """

    def __init__(
        self,
        state: ServingState,
        metrics: RequestMetrics,
        choice: UpstreamChoice,
    ) -> None:
        self._state = state
        self._metrics = metrics
        self._choice = choice
        self._sender = UpstreamSender(state)

    def begin(self, delivery: DeliveryState, chosen: ChosenUpstream) -> Attempt:
        """Return a new attempt; it sends once its parts are iterated.

        The parts raise ``UpstreamFailure`` if it fails, and ``TakenOver``.
        """
        delivery.attempts += 1
        if delivery.is_trial:
            self._state.harmful_prompts.begin_trial(delivery.routed.request)
            # Later attempts, such as a resumption, are like any other.
            delivery.is_trial = False
            delivery.needs_idle_upstream = False
        log_attempt(self._state, delivery, chosen)
        attempt = Attempt(chosen)
        attempt.parts = self._sender.send(
            delivery,
            chosen,
            functools.partial(self._try_elsewhere, delivery, attempt),
        )
        return attempt

    def record_failure(
        self,
        delivery: DeliveryState,
        attempt: Attempt,
        failure: UpstreamFailure,
    ) -> None:
        """Record a failed attempt."""
        if isinstance(failure, NotSent):
            # The upstream is not at fault, and no retry was used up.
            delivery.attempts -= 1
            delivery.avoided.add(attempt.chosen.runner.name)
            log_not_sent(delivery, attempt.chosen, failure)
            return
        name = attempt.chosen.runner.name
        delivery.record_failure(name, failure.verdict)
        self._metrics.record_failure(delivery, failure)
        self._state.suspicions.record_failure(name, failure.verdict.reason)
        if isinstance(failure, ConnectionEnded) and not delivery.response_begun:
            self._state.harmful_prompts.record_failure(
                delivery.routed.request, name
            )
        log_failure(delivery, attempt.chosen, failure)

    def _try_elsewhere(
        self, delivery: DeliveryState, attempt: Attempt
    ) -> float:
        """Let another upstream take over from a silent one if it can.

        A sound upstream may go on after a silence, so its attempt is given up
        only once another one responds. Returns the time until the next call.

        Raises
        ------
        TakenOver
            If another attempt has begun to respond.
        UpstreamFailure
            If the request still waits for another silent upstream besides.
        """
        if attempt.chosen.is_substitute:
            fail_on_silence()
        if not attempt.is_silent:
            if not may_run_elsewhere(delivery):
                return math.inf
            self._record_silence(delivery, attempt)
        chosen = self._choose_substitute(delivery)
        if chosen is None:
            # Places that become free are for new requests as well; only a
            # response that the caller has a part of is worth the search.
            return SEARCH_PERIOD_S if delivery.response_begun else math.inf
        self._take_over(delivery, self.begin(delivery, chosen))
        return 0

    def _take_over(self, delivery: DeliveryState, attempt: Attempt) -> None:
        try:
            first_part = next(attempt.parts)
        except UpstreamFailure as failure:
            self.record_failure(delivery, attempt, failure)
            return
        # Nothing else of the request is in progress any more.
        attempt.chosen = evolve(attempt.chosen, begins_by_s=math.inf)
        attempt.parts = _with_first(first_part, attempt.parts)
        raise TakenOver(attempt)

    def _choose_substitute(
        self, delivery: DeliveryState
    ) -> ChosenUpstream | None:
        route = delivery.routed.route
        budget = self._state.retry_budget(delivery.routed.service)
        if (
            delivery.attempts >= MAX_ATTEMPTS
            or len(delivery.possible_runs) >= route.max_attempts
            or not budget.allows_retry
            or present_refusal(self._state, delivery) is not None
        ):
            return None
        match self._choice.choose(delivery):
            case ChosenUpstream() as chosen if budget.spend():
                timeout_s = _SUBSTITUTE_TIME_SHARE * delivery.remaining_s
                return evolve(chosen, begins_by_s=delivery.now_s + timeout_s)
        return None

    def _record_silence(
        self, delivery: DeliveryState, attempt: Attempt
    ) -> None:
        attempt.is_silent = True
        name = attempt.chosen.runner.name
        delivery.avoided.add(name)
        delivery.possible_runs.add(name)
        self._metrics.record_silence(delivery)
        self._state.suspicions.record_failure(name, Reason.upstream_timeout)
        log_silence(delivery, attempt.chosen)


def _with_first(
    first_part: ResponsePart, parts: Iterator[ResponsePart]
) -> Iterator[ResponsePart]:
    yield first_part
    yield from parts
