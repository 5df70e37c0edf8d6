"""Log lines on attempts, with the values behind their choice."""

from __future__ import annotations

from attrs import asdict
from loguru import logger

from cowslipstep.daemon._upstream_failures import UpstreamFailure
from cowslipstep.routing import LatePart, ResponseTimes
from cowslipstep.serving._delivery_state import DeliveryState
from cowslipstep.serving._state import ServingState
from cowslipstep.serving._upstream_choice import ChosenUpstream

_MS_DECIMALS = 3


def log_attempt(
    state: ServingState, delivery: DeliveryState, chosen: ChosenUpstream
) -> None:
    """Log the upstream of an attempt, and the versions and ages used."""
    logger.bind(
        request_id=delivery.routed.request.request_id,
        upstream=chosen.runner.name,
        tries=delivery.attempts,
        urgency=chosen.urgency,
        expected_s=round(chosen.expected_s, _MS_DECIMALS),
        remaining_s=round(delivery.remaining_s, _MS_DECIMALS),
        load=state.loads.total(chosen.runner.name).requests,
        oldest_report_s=round(
            max(state.loads.report_ages_s, default=0), _MS_DECIMALS
        ),
        configuration=state.configuration.version,
        runners=state.runner_table.revision,
        prompt_parts=delivery.routed.request.shared_prompt_parts,
    ).info('try begins')


def log_failure(
    delivery: DeliveryState,
    chosen: ChosenUpstream,
    failure: UpstreamFailure,
) -> None:
    """Log why an attempt failed, and whether the response had begun."""
    logger.bind(
        request_id=delivery.routed.request.request_id,
        upstream=chosen.runner.name,
        verdict=failure.verdict.code,
        reason=failure.verdict.reason.value,
        begun=delivery.response_begun,
        expected_s=round(chosen.expected_s, _MS_DECIMALS),
        elapsed_s=round(delivery.now_s - delivery.arrived_s, _MS_DECIMALS),
        prompt_parts=delivery.routed.request.shared_prompt_parts,
    ).info('try failed: {}', failure)


def log_not_sent(
    delivery: DeliveryState,
    chosen: ChosenUpstream,
    failure: UpstreamFailure,
) -> None:
    """Log why a request was not written, so that it goes elsewhere."""
    logger.bind(
        request_id=delivery.routed.request.request_id,
        upstream=chosen.runner.name,
        elapsed_s=round(delivery.now_s - delivery.arrived_s, _MS_DECIMALS),
    ).info('request not sent, another upstream is tried: {}', failure)


def log_backoff(
    chosen: ChosenUpstream, backoff_s: float | None, retry_after: str
) -> None:
    """Log for how long an upstream wants no requests, if that counts."""
    bound = logger.bind(upstream=chosen.runner.name, backoff_s=backoff_s)
    if backoff_s is None:
        bound.warning('time without requests ignored: {!r}', retry_after)
        return
    bound.info('upstream wants no requests for a time')


def log_late_response(
    delivery: DeliveryState, times: ResponseTimes, part: LatePart
) -> None:
    """Log which part of a response was late, with all its times."""
    logger.bind(
        request_id=delivery.routed.request.request_id,
        route=delivery.routed.route.name,
        model=delivery.routed.request.model,
        late_part=part.value,
        objective_s=delivery.routed.route.objective_s,
        tries=delivery.attempts,
        **{
            name: round(seconds, _MS_DECIMALS)
            for name, seconds in asdict(times).items()
        },
    ).info('response late')
