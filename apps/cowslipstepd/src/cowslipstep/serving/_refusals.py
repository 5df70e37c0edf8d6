"""Why no attempt of a request may begin at a moment."""

from __future__ import annotations

import time

from attrs import evolve

from cowslipstep.model import NotRun
from cowslipstep.routing.prompts import TrialChance
from cowslipstep.serving._clocks import boot_time_s
from cowslipstep.serving._delivery_state import DeliveryState
from cowslipstep.serving._key_permission import key_permission, key_refusal
from cowslipstep.serving._state import ServingState


def present_refusal(
    state: ServingState, delivery: DeliveryState
) -> NotRun | None:
    """Return why no attempt of a request may begin now, if none may."""
    return _key_refusal(state, delivery) or _prompt_refusal(state, delivery)


def _key_refusal(state: ServingState, delivery: DeliveryState) -> NotRun | None:
    table = state.configuration.table
    if table is None:
        return None
    return key_refusal(
        delivery.routed, table, key_permission(state), boot_time_s()
    )


def _prompt_refusal(
    state: ServingState, delivery: DeliveryState
) -> NotRun | None:
    if delivery.response_begun:
        return None
    refusal = state.harmful_prompts.refusal(delivery.routed.request)
    if refusal and not delivery.attempts:
        return _untried(state, delivery, refusal)
    return refusal


def _untried(
    state: ServingState, delivery: DeliveryState, refusal: NotRun
) -> NotRun | None:
    """Return a refusal unless the prompt is due to be tried again."""
    trials = state.harmful_prompts.guard.trials
    parts = delivery.routed.request.shared_prompt_parts
    alone = TrialChance(time.time(), holds_lease=state.is_controller)
    delivery.is_trial = trials.may_try(parts, alone)
    delivery.needs_idle_upstream = not trials.may_try(
        parts, evolve(alone, alone=False)
    )
    return None if delivery.is_trial else refusal
