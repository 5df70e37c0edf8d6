"""Predicted and observed times of streamed responses, and what was late."""

from __future__ import annotations

from collections.abc import Iterator

from cowslipstep.daemon._metrics_text import render_cooperatively
from cowslipstep.metrics import (
    CounterKey,
    Counters,
    ModelHistograms,
    ModelSeries,
)
from cowslipstep.routing import ResponseTimes, late_part
from cowslipstep.serving._delivery_state import DeliveryState
from cowslipstep.serving._request_log import log_late_response


class ResponseMetrics:
    """Histograms of streamed responses by model and route.

    Parameters
    ----------
    counters
        Count late responses by the part that was late.
    """

    def __init__(self, counters: Counters) -> None:
        self._counters = counters
        self._histograms = ModelHistograms()

    def record(self, delivery: DeliveryState) -> None:
        """Record a complete response, if it was a stream of events."""
        times = delivery.timer.times(delivery.arrived_s)
        if times is None:
            return
        for name, seconds in (
            ('before_attempts', times.before_attempts_s),
            ('first_event_expected', times.expected_s),
            ('first_event', times.first_event_s),
            ('longest_pause', times.longest_pause_s),
        ):
            self._histograms.record(_series(name, delivery), seconds)
        self._count_late(delivery, times)

    def render(self) -> Iterator[str]:
        """Yield texts in the format of Prometheus."""
        yield from render_cooperatively(self._histograms)

    def _count_late(
        self, delivery: DeliveryState, times: ResponseTimes
    ) -> None:
        route = delivery.routed.route
        part = late_part(times, route.objective_s, route.max_gap_s)
        if part is None:
            return
        labels = (
            ('model', delivery.routed.request.model),
            ('part', part.value),
            ('route', route.name),
        )
        self._counters.add(CounterKey('late_responses', labels))
        log_late_response(delivery, times, part)


def _series(name: str, delivery: DeliveryState) -> ModelSeries:
    return ModelSeries(
        name, delivery.routed.request.model, delivery.routed.route.name
    )
