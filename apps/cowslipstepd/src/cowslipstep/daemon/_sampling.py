"""Figures taken at times: gauges over time, requests in slots of the day."""

from __future__ import annotations

import time

from cowslipstep.daemon._state import DaemonState
from cowslipstep.metrics import (
    SLOT_S,
    CounterGrowth,
    CounterKey,
    RequestTimeline,
    SlotAmount,
    SlotCount,
)

_DAY_S = 86400
_MS_PER_S = 1000
_LAST_SLOT = _DAY_S // SLOT_S - 1
# A daemon that was paused knows nothing of the time of its pause.
_MAX_ELAPSED_S = 15
_STRANDED = 'stranded_accelerators'
_STRANDED_MS = 'stranded_accelerator_ms'


class Sampler:
    """Samples the state of a daemon.

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
        self._midnight_unix_s = _midnight_unix_s()

    @property
    def timeline(self) -> tuple[SlotCount, ...]:
        """Requests in slots of the day."""
        return self._timeline.counts

    @property
    def downtime(self) -> tuple[SlotAmount, ...]:
        """Downtime of groups in slots of the day."""
        return self._downtime.slots

    @property
    def answered_tokens(self) -> tuple[SlotAmount, ...]:
        """Tokens of answered requests in slots of the day."""
        return self._tokens.slots

    def sample(self) -> None:
        """Take the figures since the last call."""
        now_s = time.monotonic()
        elapsed_s = min(_MAX_ELAPSED_S, now_s - self._sampled_at_s)
        _add_stranded(self._state, elapsed_s)
        self._sampled_at_s = now_s
        slot = self._slot()
        samples = self._state.counters.samples
        for slots in (self._timeline, self._downtime, self._tokens):
            slots.record_growth(slot, samples)

    def clear(self) -> None:
        """Forget all slots and begin a new day."""
        self._midnight_unix_s = _midnight_unix_s()
        for slots in (self._timeline, self._downtime, self._tokens):
            slots.clear()

    def _slot(self) -> int:
        """Return the slot of now; a day goes on until it is cleared."""
        passed_s = time.time() - self._midnight_unix_s
        return max(0, min(_LAST_SLOT, int(passed_s // SLOT_S)))


def _add_stranded(state: DaemonState, elapsed_s: float) -> None:
    """Add stranded accelerators, times the time, to a counter."""
    for gauge in state.gauges.samples:
        if gauge.key.name == _STRANDED:
            key = CounterKey(_STRANDED_MS, gauge.key.labels)
            amount_ms = int(gauge.amount * elapsed_s * _MS_PER_S)
            state.counters.add(key, amount_ms)


def _midnight_unix_s() -> int:
    """Return the wall clock at which the day began, seconds since 1970."""
    return int(time.time()) // _DAY_S * _DAY_S
