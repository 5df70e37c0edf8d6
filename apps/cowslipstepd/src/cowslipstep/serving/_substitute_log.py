"""Log lines on silent attempts, and on those beside them."""

from __future__ import annotations

from loguru import logger

from cowslipstep.daemon._upstream_failures import UpstreamFailure
from cowslipstep.model import MayHaveRun, Reason
from cowslipstep.serving._delivery_state import DeliveryState
from cowslipstep.serving._upstream_choice import ChosenUpstream

_MS_DECIMALS = 3


def log_silence(delivery: DeliveryState, chosen: ChosenUpstream) -> None:
    """Log that an upstream is silent, so that others are tried."""
    logger.bind(
        request_id=delivery.routed.request.request_id,
        upstream=chosen.runner.name,
        begun=delivery.response_begun,
        expected_s=round(chosen.expected_s, _MS_DECIMALS),
        elapsed_s=round(delivery.now_s - delivery.arrived_s, _MS_DECIMALS),
    ).info('upstream silent, another is tried beside it')


def log_substitute_ended(
    delivery: DeliveryState, chosen: ChosenUpstream
) -> None:
    """Log that a silent upstream goes on, so that its substitute is ended."""
    logger.bind(
        request_id=delivery.routed.request.request_id,
        upstream=chosen.runner.name,
        elapsed_s=round(delivery.now_s - delivery.arrived_s, _MS_DECIMALS),
    ).info('attempt beside a silent upstream ended')


def unexpected_failure(
    delivery: DeliveryState, error: Exception
) -> UpstreamFailure:
    """Log an error that is a fault of this program; return it as a failure."""
    logger.bind(request_id=delivery.routed.request.request_id).opt(
        exception=error
    ).error('unexpected error, attempt ended')
    return UpstreamFailure(MayHaveRun(Reason.internal), repr(error))
