"""Whether a request gets another attempt, where, and its error if not."""

from __future__ import annotations

import eventlet

from cowslipstep.delivery import combine_verdicts, may_resume, may_retry
from cowslipstep.model import MayHaveRun, NotRun, Reason, RequestError
from cowslipstep.serving._attempts import SEARCH_PERIOD_S
from cowslipstep.serving._delivery_state import DeliveryState
from cowslipstep.serving._refusals import present_refusal
from cowslipstep.serving._state import ServingState
from cowslipstep.serving._substitute_choice import MAX_ATTEMPTS
from cowslipstep.serving._upstream_choice import ChosenUpstream, UpstreamChoice

_BAD_GATEWAY = 502
_UNAVAILABLE = 503
_GATEWAY_TIMEOUT = 504
# Retry-After of a refusal that names no other; an upstream may be free then.
_RETRY_AFTER_S = 0.4


class NextUpstream:
    """Decides on the next attempt of a request.

    Parameters
    ----------
    state
        State of the daemon.
    choice
        Chooses upstreams.
    """

    def __init__(self, state: ServingState, choice: UpstreamChoice) -> None:
        self._state = state
        self._choice = choice

    def choose(self, delivery: DeliveryState) -> ChosenUpstream:
        """Return the upstream for the next attempt.

        Raises
        ------
        RequestError
            If there is to be none.
        """
        if delivery.overdue or delivery.attempts >= MAX_ATTEMPTS:
            raise final_error(delivery)
        _raise_if_refused(self._state, delivery)
        chosen = self._choose_upstream(delivery)
        match chosen:
            case NotRun():
                delivery.verdict = combine_verdicts(delivery.verdict, chosen)
                raise final_error(delivery)
            case ChosenUpstream():
                if delivery.attempts and not self._may_attempt_again(delivery):
                    raise final_error(delivery)
                return chosen

    def _choose_upstream(
        self, delivery: DeliveryState
    ) -> ChosenUpstream | NotRun:
        """Return an upstream; wait for one if the response has begun."""
        chosen = self._choice.choose(delivery)
        while (
            delivery.response_begun
            and not delivery.overdue
            and isinstance(chosen, NotRun)
        ):
            eventlet.sleep(SEARCH_PERIOD_S)
            chosen = self._choice.choose(delivery)
        return chosen

    def _may_attempt_again(self, delivery: DeliveryState) -> bool:
        verdict = delivery.verdict
        route = delivery.routed.route
        if verdict is None or len(delivery.possible_runs) >= route.max_attempts:
            return False
        if delivery.response_begun:
            allowed = may_resume(verdict, idempotent=route.repeatable)
        else:
            allowed = may_retry(
                verdict,
                idempotent=route.repeatable,
                response_begun=False,
            )
        return (
            allowed
            and self._state.retry_budget(delivery.routed.service).spend()
        )


def _raise_if_refused(state: ServingState, delivery: DeliveryState) -> None:
    refusal = present_refusal(state, delivery)
    if refusal is not None:
        delivery.verdict = combine_verdicts(delivery.verdict, refusal)
        raise final_error(delivery)


def final_error(delivery: DeliveryState) -> RequestError:
    """Return the error of a request that gets no other attempt."""
    match delivery.verdict:
        case MayHaveRun() as verdict:
            status = _GATEWAY_TIMEOUT if delivery.overdue else _BAD_GATEWAY
            return RequestError(verdict, 'the request may have run', status)
        case NotRun() as refusal:
            return refusal_error(refusal)
        case _:
            return refusal_error(NotRun(Reason.no_capacity))


def refusal_error(refusal: NotRun) -> RequestError:
    """Return the error of a request that has not run."""
    return RequestError(
        NotRun(refusal.reason, refusal.retry_after_s or _RETRY_AFTER_S),
        'the request has not run',
        _UNAVAILABLE,
    )
