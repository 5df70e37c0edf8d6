"""Counters and histograms of requests on routes."""

from __future__ import annotations

import socket
from typing import Any

import pytest
from _route_cases import ROUTE

from cowslipstep.daemon._hangup import CallerGone
from cowslipstep.daemon._upstream_failures import UpstreamFailure
from cowslipstep.fleet import CallerRequest
from cowslipstep.model import Address, MayHaveRun, NotRun, Reason, RequestError
from cowslipstep.routing import RoutedRequest
from cowslipstep.serving._delivery_state import DeliveryState
from cowslipstep.serving._metrics import RequestMetrics
from cowslipstep.serving._metrics_application import serve_metrics

REQUEST = CallerRequest('r1', 'orders.example', 'GET', '/quotes/', (), b'')


@pytest.fixture(name='delivery')
def delivery_fixture() -> DeliveryState:
    return DeliveryState(
        RoutedRequest(REQUEST, ROUTE, 'firm', 0, 'drafting'), 1, 9
    )


def test_completed_request_is_counted_and_timed(
    delivery: DeliveryState,
) -> None:
    metrics = RequestMetrics()
    with metrics.outcome_counted(delivery):
        delivery.attempts = 2
        delivery.response_begun_s = 1.5
    text = '\n'.join(metrics.render())
    labels = 'outcome="completed",rank="0",service="drafting"'
    assert f'requests_total{{{labels}}} 1' in text
    assert f'cowslipstep_tries_total{{{labels}}} 2' in text
    count = 'first_piece_seconds_count{workspace="firm",rank="0"} 1'
    assert count in text


def test_refused_request_is_counted_by_reason(
    delivery: DeliveryState,
) -> None:
    metrics = RequestMetrics()
    with pytest.raises(RequestError), metrics.outcome_counted(delivery):
        raise RequestError(NotRun(Reason.queue_full), 'not run', 503)
    text = '\n'.join(metrics.render())
    assert 'outcome="queue_full"' in text
    assert '_seconds' not in text


@pytest.mark.parametrize('hangup', [GeneratorExit, CallerGone])
def test_caller_that_hangs_up_is_counted_apart(
    delivery: DeliveryState, hangup: type[BaseException]
) -> None:
    metrics = RequestMetrics()
    with pytest.raises(hangup), metrics.outcome_counted(delivery):
        raise hangup
    assert 'outcome="hung_up"' in '\n'.join(metrics.render())


def test_failed_attempt_is_counted(delivery: DeliveryState) -> None:
    metrics = RequestMetrics()
    failure = UpstreamFailure(MayHaveRun(Reason.upstream_cut), 'reset')
    metrics.record_failure(delivery, failure)
    text = '\n'.join(metrics.render())
    assert 'failed_tries_total{reason="upstream_cut"' in text


def test_occupied_metrics_address_is_no_error() -> None:
    unused: Any = None
    with socket.create_server(('127.0.0.1', 0)) as occupied:
        port = occupied.getsockname()[1]
        serve_metrics(unused, Address('127.0.0.1', port))
        serve_metrics(unused, None)
