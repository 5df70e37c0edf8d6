"""Measures how long the tasks of a process could not run."""

from __future__ import annotations

import time
from collections.abc import Callable

from attrs import frozen

# Pauses shorter than this time may be missed.
_PERIOD_S = 0.1


@frozen
class LoopWatch:
    """Measures how late a task that sleeps is run again.

    It is late while another task runs without a wait, and while the process
    does not run at all. The processor time tells one from the other.

    Parameters
    ----------
    on_pause
        Called after each sleep with the delay and the processor time that the
        process took during the whole sleep, seconds.
    period_s
        Duration of a sleep.
    """

    on_pause: Callable[[float, float], None]
    period_s: float = _PERIOD_S

    def run(self) -> None:
        """Measure until the task is killed."""
        while True:
            self.measure()

    def measure(self) -> None:
        """Sleep once, and report the delay."""
        began_s = time.monotonic()
        busy_s = time.process_time()
        time.sleep(self.period_s)
        late_s = time.monotonic() - began_s - self.period_s
        self.on_pause(max(0, late_s), time.process_time() - busy_s)
