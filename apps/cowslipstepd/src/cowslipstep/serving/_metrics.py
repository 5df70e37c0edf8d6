"""Counters and latency histograms of requests on routes."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator

from cowslipstep.daemon._hangup import CallerGone
from cowslipstep.daemon._metrics_text import render_cooperatively
from cowslipstep.daemon._upstream_failures import UpstreamFailure
from cowslipstep.metrics import CounterKey, Counters, Histograms, Series
from cowslipstep.model import RequestError
from cowslipstep.serving._delivery_state import DeliveryState
from cowslipstep.serving._response_metrics import ResponseMetrics

_COMPLETED = 'completed'
_HUNG_UP = 'hung_up'


class RequestMetrics:
    """Counts requests and failed attempts, and measures latencies."""

    def __init__(self) -> None:
        self._counters = Counters()
        self._histograms = Histograms()
        self._responses = ResponseMetrics(self._counters)

    @contextlib.contextmanager
    def outcome_counted(self, delivery: DeliveryState) -> Iterator[None]:
        """Count a request when it ends, labelled with its outcome."""
        outcome = _COMPLETED
        try:
            yield
        except (CallerGone, GeneratorExit):
            outcome = _HUNG_UP
            raise
        except RequestError as error:
            outcome = error.verdict.reason.value
            raise
        finally:
            self._record_end(delivery, outcome)

    def record_failure(
        self, delivery: DeliveryState, failure: UpstreamFailure
    ) -> None:
        """Count a failed attempt."""
        labels = (
            ('reason', failure.verdict.reason.value),
            ('service', delivery.routed.service),
            ('verdict', failure.verdict.code),
        )
        self._counters.add(CounterKey('failed_tries', labels))

    def record_silence(self, delivery: DeliveryState) -> None:
        """Count an attempt whose upstream is silent."""
        labels = (('service', delivery.routed.service),)
        self._counters.add(CounterKey('silent_tries', labels))

    def render(self) -> Iterator[str]:
        """Yield lines in the text format of Prometheus."""
        yield from self._counters.render()
        yield from render_cooperatively(self._histograms)
        yield from self._responses.render()

    def _record_end(self, delivery: DeliveryState, outcome: str) -> None:
        routed = delivery.routed
        rank = str(routed.rank)
        labels = (
            ('outcome', outcome),
            ('rank', rank),
            ('service', routed.service),
        )
        self._counters.add(CounterKey('requests', labels))
        self._counters.add(CounterKey('tries', labels), delivery.attempts)
        if delivery.response_begun_s:
            series = Series('first_piece', routed.workspace, rank)
            self._histograms.record(
                series, delivery.response_begun_s - delivery.arrived_s
            )
        if outcome == _COMPLETED:
            series = Series('total', routed.workspace, rank)
            self._histograms.record(series, delivery.now_s - delivery.arrived_s)
            self._responses.record(delivery)
