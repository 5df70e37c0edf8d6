"""Log lines on the tries of requests, with what decided them."""

from __future__ import annotations

from loguru import logger

from cowslipstep.daemon._upstream_failures import UpstreamFailure
from cowslipstep.serving._serving_run import ServingRun
from cowslipstep.serving._state import ServingState
from cowslipstep.serving._targets import Target

_MS_DIGITS = 3


def log_try(state: ServingState, run: ServingRun, target: Target) -> None:
    """Write where a request goes, and the versions and ages behind it."""
    logger.bind(
        request_id=run.routed.request.request_id,
        upstream=target.runner.name,
        tries=run.tries,
        urgency=target.urgency,
        expected_s=round(target.expected_s, _MS_DIGITS),
        remaining_s=round(run.remaining_s, _MS_DIGITS),
        load=state.loads.total(target.runner.name).requests,
        oldest_report_s=round(state.loads.oldest_age_s, _MS_DIGITS),
        configuration=state.configuration.version,
        runners=state.directory.revision,
    ).info('try begins')


def log_failure(
    run: ServingRun,
    target: Target,
    failure: UpstreamFailure,
) -> None:
    """Write why a try failed and what the caller had by then."""
    logger.bind(
        request_id=run.routed.request.request_id,
        upstream=target.runner.name,
        verdict=failure.verdict.code,
        reason=failure.verdict.reason.value,
        begun=run.begun,
        expected_s=round(target.expected_s, _MS_DIGITS),
        elapsed_s=round(run.now_s - run.arrived_s, _MS_DIGITS),
    ).info('try failed: {}', failure)
