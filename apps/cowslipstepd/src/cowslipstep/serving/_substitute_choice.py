"""Choice of the upstream that is tried beside a silent one."""

from __future__ import annotations

from attrs import evolve

from cowslipstep.serving._delivery_state import DeliveryState
from cowslipstep.serving._refusals import present_refusal
from cowslipstep.serving._state import ServingState
from cowslipstep.serving._upstream_choice import ChosenUpstream, UpstreamChoice

# Includes refused attempts, which do not count as runs of the request; limits
# the time spent on refusals.
MAX_ATTEMPTS = 5
# Part of the remaining time that a substitute may take to begin its response.
_SUBSTITUTE_TIME_SHARE = 0.5


class SubstituteChoice:
    """Chooses upstreams within the limits of attempts, runs and retries.

    Parameters
    ----------
    state
        State of the daemon.
    choice
        Chooses among all upstreams.
    """

    def __init__(self, state: ServingState, choice: UpstreamChoice) -> None:
        self._state = state
        self._choice = choice

    def choose(self, delivery: DeliveryState) -> ChosenUpstream | None:
        """Return an upstream; ``None`` if there is none, or may be none."""
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
