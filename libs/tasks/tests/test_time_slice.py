"""A task that never waits still lets others run, and pauses are measured."""

from __future__ import annotations

import time

from cowslipstep.tasks import LoopWatch, TimeSlice

_SLICE_S = 0.01
_DELAY_S = 0.2


def test_slice_ends_by_time_spent() -> None:
    turn = TimeSlice(_SLICE_S)
    assert not turn.end_if_over()
    time.sleep(2 * _SLICE_S)
    assert turn.end_if_over()
    assert not turn.end_if_over()


def test_slice_begins_anew_after_a_wait() -> None:
    turn = TimeSlice(_SLICE_S)
    time.sleep(2 * _SLICE_S)
    turn.restart()
    assert not turn.end_if_over()


def test_pause_is_measured(monkeypatch) -> None:
    pauses: list[float] = []
    watch = LoopWatch(lambda late_s, _busy_s: pauses.append(late_s), _SLICE_S)
    sleep = time.sleep
    monkeypatch.setattr(
        time, 'sleep', lambda period_s: sleep(period_s + _DELAY_S)
    )
    watch.measure()
    assert pauses[0] >= _DELAY_S
