"""Tests of the delayed cache events and load of the engine stand-in."""

from __future__ import annotations

from cowslipstep_standins._delayed_telemetry import CacheEvents, DelayedLoad


def test_cache_events_come_late_and_with_gaps():
    events = CacheEvents()
    for number in range(16):
        events.record(f'prompt {number}', now_s=number)
    early = [event.number for event in events.published(0, now_s=3)]
    assert early == [1, 2, 3]
    late = [event.number for event in events.published(4, now_s=20)]
    assert late == [5, 6, 7, 9, 10, 11, 12, 13, 14, 15]


def test_load_is_that_of_a_second_ago():
    load = DelayedLoad()
    assert load.sample(4, 1, now_s=10).running == 0
    assert load.sample(5, 2, now_s=10.5).running == 0
    assert load.sample(6, 3, now_s=11).running == 4
