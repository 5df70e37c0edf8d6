"""Periodic samples: counters by time slot of the day, gauges over time."""

from __future__ import annotations

import time

from cowslipstep.daemon._state import DaemonState
from cowslipstep.metrics import (
    TIMELINE_SLOT_S,
    CounterGrowth,
    CounterKey,
    RequestTimeline,
    TimeSlotAmount,
    TimeSlotCount,
)

_DAY_S = 86400
_MS_PER_S = 1000
_LAST_SLOT_OF_DAY = _DAY_S // TIMELINE_SLOT_S - 1
# Longer periods are pauses of the daemon, in which gauges are unknown.
_MAX_SAMPLED_PERIOD_S = 15
_STRANDED_GAUGE = 'stranded_accelerators'
_STRANDED_COUNTER = 'stranded_accelerator_ms'


class Sampler:
    """Samples counters and gauges of a daemon.

    Parameters
    ----------
    state
        State of the daemon.
    """

    def __init__(self, state: DaemonState) -> None:
        self._state = state
        self._timeline = RequestTimeline()
        self._downtime = CounterGrowth('group_down_ms', 'model')
        self._tokens = CounterGrowth('answered_tokens', 'rank')
        self._sampled_at_s = time.monotonic()
        self._day_start_unix_s = _day_start_unix_s()

    @property
    def timeline(self) -> tuple[TimeSlotCount, ...]:
        """Requests by time slot of the day."""
        return self._timeline.counts

    @property
    def downtime(self) -> tuple[TimeSlotAmount, ...]:
        """Downtime of groups by time slot of the day."""
        return self._downtime.slots

    @property
    def answered_tokens(self) -> tuple[TimeSlotAmount, ...]:
        """Tokens of completed requests by time slot of the day."""
        return self._tokens.slots

    def sample(self) -> None:
        """Record the growth of counters since the last call."""
        now_s = time.monotonic()
        elapsed_s = min(_MAX_SAMPLED_PERIOD_S, now_s - self._sampled_at_s)
        _add_stranded(self._state, elapsed_s)
        self._sampled_at_s = now_s
        slot = self._current_slot()
        samples = self._state.counters.samples
        for growth in (self._timeline, self._downtime, self._tokens):
            growth.record_growth(slot, samples)

    def clear(self) -> None:
        """Clear all time slots and begin a new day."""
        self._day_start_unix_s = _day_start_unix_s()
        for growth in (self._timeline, self._downtime, self._tokens):
            growth.clear()

    def _current_slot(self) -> int:
        """Return the current time slot; after the day's end, the last one."""
        passed_s = time.time() - self._day_start_unix_s
        return max(0, min(_LAST_SLOT_OF_DAY, int(passed_s // TIMELINE_SLOT_S)))


def _add_stranded(state: DaemonState, elapsed_s: float) -> None:
    """Add the accelerator time that was stranded to a counter."""
    for gauge in state.gauges.samples:
        if gauge.key.name == _STRANDED_GAUGE:
            key = CounterKey(_STRANDED_COUNTER, gauge.key.labels)
            amount_ms = int(gauge.amount * elapsed_s * _MS_PER_S)
            state.counters.add(key, amount_ms)


def _day_start_unix_s() -> int:
    """Return the start of the current UTC day, seconds since 1970."""
    return int(time.time()) // _DAY_S * _DAY_S
