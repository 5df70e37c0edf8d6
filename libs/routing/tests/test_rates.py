"""Tests of service rates."""

from __future__ import annotations

from cowslipstep.routing._rates import BusyMeter, ServiceRate


def serve(meter: BusyMeter, start_s: int, seconds: int) -> int:
    """Serve 100 tokens in each tenth of a second of busy time."""
    ticks = seconds * 10
    for tick in range(1, ticks + 1):
        meter.observe(start_s + tick / 10, busy=True, tokens=100)
    return start_s + seconds


def test_rate_counts_busy_time_only():
    meter = BusyMeter(ServiceRate(), 0)
    end_s = serve(meter, 0, 2)
    meter.observe(end_s + 0.9, busy=False)
    assert 990 < meter.per_s < 1010


def test_process_pause_does_not_lower_the_rate():
    meter = BusyMeter(ServiceRate(), 0)
    end_s = serve(meter, 0, 2)
    before = meter.per_s
    meter.observe(end_s + 7, busy=True)
    assert meter.per_s == before
