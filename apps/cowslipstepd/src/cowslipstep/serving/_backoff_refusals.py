"""Refusals while all upstreams of a request want no requests."""

from __future__ import annotations

import random
from collections.abc import Iterator

from cowslipstep.daemon._upstream_failures import NotSent
from cowslipstep.fleet import EngineProfile
from cowslipstep.model import NotRun, Reason
from cowslipstep.serving._delivery_state import DeliveryState
from cowslipstep.serving._evacuations import groups_outside
from cowslipstep.serving._state import ServingState


def backoff_refusal(
    state: ServingState,
    delivery: DeliveryState,
    engine: EngineProfile | None,
    rng: random.Random,
) -> NotRun | None:
    """Refuse a request if all its upstreams want no requests.

    The caller may return when the first of them wants requests again.
    """
    names = (
        _plain_upstreams(state, delivery)
        if engine is None
        else _leaders(state, delivery, engine)
    )
    retry_after_s = state.backoffs.retry_after_s(names, rng)
    return NotRun(Reason.no_capacity, retry_after_s) if retry_after_s else None


def raise_if_backed_off(state: ServingState, name: str) -> None:
    """Count a request that is about to be written to an upstream.

    Raises
    ------
    NotSent
        If the upstream wants no requests, as it may have said since it was
        chosen.
    """
    if not state.backoffs.take(name):
        raise NotSent(
            NotRun(Reason.no_capacity, state.backoffs.wait_s(name)),
            f'{name} wants no requests now',
        )


def _plain_upstreams(
    state: ServingState, delivery: DeliveryState
) -> Iterator[str]:
    for runner in state.runner_table.runners.values():
        if (
            runner.service == delivery.routed.service
            and not runner.draining
            and not state.evacuations.is_evacuated(runner.failure_domain)
        ):
            yield runner.name


def _leaders(
    state: ServingState, delivery: DeliveryState, engine: EngineProfile
) -> Iterator[str]:
    groups = state.serving_groups.serving(
        delivery.routed.service, engine, state.runner_table.groups.groups
    )
    for group in groups_outside(state.evacuations.current, groups):
        if group.model == delivery.routed.request.model:
            yield group.leader.name
