"""Records of attempts that failed or were silent."""

from __future__ import annotations

from cowslipstep.daemon._upstream_failures import (
    ConnectionEnded,
    NotSent,
    UpstreamFailure,
)
from cowslipstep.model import Reason
from cowslipstep.serving._attempt import Attempt
from cowslipstep.serving._delivery_state import DeliveryState
from cowslipstep.serving._metrics import RequestMetrics
from cowslipstep.serving._request_log import log_failure, log_not_sent
from cowslipstep.serving._state import ServingState
from cowslipstep.serving._substitute_log import log_silence


class AttemptRecords:
    """Records what becomes of attempts, for the choice of later ones.

    Parameters
    ----------
    state
        State of the daemon.
    metrics
        Counts failed and silent attempts.
    """

    def __init__(self, state: ServingState, metrics: RequestMetrics) -> None:
        self._state = state
        self._metrics = metrics

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

    def record_silence(self, delivery: DeliveryState, attempt: Attempt) -> None:
        """Record that the upstream of an attempt is silent."""
        attempt.is_silent = True
        name = attempt.chosen.runner.name
        delivery.avoided.add(name)
        delivery.possible_runs.add(name)
        self._metrics.record_silence(delivery)
        self._state.suspicions.record_failure(name, Reason.upstream_timeout)
        log_silence(delivery, attempt.chosen)
