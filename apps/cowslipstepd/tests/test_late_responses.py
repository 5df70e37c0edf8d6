"""Which part of a late response is named, and which times are recorded."""

from __future__ import annotations

from collections.abc import Iterator

import pytest
from _route_cases import ROUTE
from attrs import evolve
from loguru import logger

from cowslipstep.fleet import CallerRequest, RequestKind
from cowslipstep.metrics import Counters
from cowslipstep.routing import RoutedRequest
from cowslipstep.serving._delivery_state import DeliveryState
from cowslipstep.serving._response_metrics import ResponseMetrics

# Objective 0.25 s.
STREAM = evolve(ROUTE, kind=RequestKind.streaming, max_gap_s=0.3)
REQUEST = CallerRequest(
    'r1', 'orders.example', 'POST', '/quotes/', (), b'', model='small'
)
ARRIVED_S = 1


@pytest.fixture(name='lines')
def lines_fixture() -> Iterator[list[dict]]:
    lines: list[dict] = []
    sink = logger.add(lambda message: lines.append(message.record['extra']))
    yield lines
    logger.remove(sink)


@pytest.mark.parametrize(
    ('sent', 'events', 'part'),
    [
        ([(1.02, 0.1)], [1.2], None),
        ([(1.2, 0.1)], [1.3], 'daemon'),
        ([(1.02, 0.1), (1.6, 0.1)], [1.7], 'earlier_attempts'),
        ([(1.02, 0.9)], [1.6], 'predicted'),
        ([(1.02, 0.1)], [1.6], 'first_event'),
        ([(1.02, 0.1)], [1.2, 1.25, 1.6], 'pause'),
    ],
)
def test_late_part_is_logged_and_counted(lines, sent, events, part) -> None:
    delivery = delivery_of(sent, events)
    counters = Counters()
    ResponseMetrics(counters).record(delivery)
    logged = [line['late_part'] for line in lines]
    assert logged == [part for part in (part,) if part]
    counted = '\n'.join(counters.render())
    assert all(f'part="{late}"' in counted for late in logged)


def test_predicted_and_observed_times_recorded() -> None:
    metrics = ResponseMetrics(Counters())
    metrics.record(delivery_of([(1.02, 0.1)], [1.2]))
    labels = f'model="small",route="{STREAM.name}"'
    text = '\n'.join(metrics.render())
    assert f'first_event_seconds_count{{{labels}}} 1' in text
    assert f'first_event_expected_seconds_count{{{labels}}} 1' in text


def delivery_of(
    sent: list[tuple[float, float]], events: list[float]
) -> DeliveryState:
    """Return a delivery; its last attempt yields the events."""
    delivery = DeliveryState(
        RoutedRequest(REQUEST, STREAM, 'firm', 0, 'drafting'), ARRIVED_S, 9
    )
    for sent_s, expected_s in sent:
        start = delivery.timer.start_attempt(sent_s, expected_s)
    for event_s in events:
        delivery.timer.record_events(start, event_s)
    return delivery
