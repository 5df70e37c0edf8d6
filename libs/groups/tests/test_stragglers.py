"""Hosts that slow their groups down."""

from __future__ import annotations

from cowslipstep.groups import (
    HostRecord,
    HostReport,
    HostState,
    StragglerWatch,
    note_report,
    stragglers,
)


class Clock:
    """Clock that a test sets."""

    now_s: float = 0

    def __call__(self) -> float:
        """Return the time, seconds."""
        return self.now_s


def _records(*paces: float) -> dict[str, HostRecord]:
    reports = [
        HostReport(f'h{index}', 'fab-1', HostState.ready, 100, token_s=pace)
        for index, pace in enumerate(paces)
    ]
    return {
        report.host: note_report(HostRecord(), report) for report in reports
    }


def test_far_slower_host_is_a_straggler() -> None:
    assert stragglers(_records(0.01, 0.01, 0.05)) == {'h2'}


def _watch(watch: StragglerWatch, clock: Clock, *paces: float) -> None:
    """Observe the same reports for two seconds."""
    for _ in range(4):
        watch.observe(_records(*paces))
        clock.now_s += 0.5


def test_host_that_stays_slow_is_barred() -> None:
    clock = Clock()
    watch = StragglerWatch(clock)
    watch.observe(_records(0.01, 0.01, 0.05))
    assert not watch.barred
    _watch(watch, clock, 0.01, 0.01, 0.05)
    assert watch.barred == {'h2'}
    clock.now_s += 60
    assert not watch.barred


def test_one_slow_report_bars_nothing() -> None:
    clock = Clock()
    watch = StragglerWatch(clock)
    watch.observe(_records(0.05, 0.01, 0.01))
    _watch(watch, clock, 0.05, 0.05, 0.05)
    watch.observe(_records(0.05, 0.01, 0.01))
    assert not watch.barred
