"""Memory that the connections of callers may take together."""

from __future__ import annotations

import contextlib
import functools
import math
import os
import resource
import time
from collections.abc import Callable, Iterator
from typing import Any

from loguru import logger

from cowslipstep.daemon._charges import Phase
from cowslipstep.daemon._held_bytes import HeldBytes
from cowslipstep.daemon._held_responses import hold_in_this_task
from cowslipstep.memory import ByteBudget, ByteLimits
from cowslipstep.metrics import CounterKey, Counters, Gauges
from cowslipstep.model import TokenBucket

# Log lines about losses, a second and in a burst.
_LOG_LINES_PER_S = 1
_LOG_BURST_LINES = 10


class CallerMemory:
    """The budget of a process, with its log lines and metrics.

    Parameters
    ----------
    current_limits
        Returns the limits in force.
    """

    def __init__(self, current_limits: Callable[[], ByteLimits]) -> None:
        self._budget = ByteBudget(current_limits, time.monotonic)
        self._bucket = TokenBucket(
            _LOG_LINES_PER_S, _LOG_BURST_LINES, time.monotonic
        )
        self._counters = Counters()

    @property
    def held_bytes(self) -> int:
        """Bytes that are held for all callers."""
        return self._budget.totals.held_bytes

    @contextlib.contextmanager
    def opened(self, sock: Any) -> Iterator[HeldBytes]:
        """Yield what a connection holds; it is released at the end."""
        held = HeldBytes(self._budget, sock, self._record_loss)
        hold_in_this_task(held)
        try:
            yield held
        finally:
            held.release_all()

    def log(self, max_connections: int) -> None:
        """Log how the memory is shared out."""
        limits = self._budget.limits
        logger.bind(
            max_bytes=limits.max_bytes,
            max_large_bytes=limits.max_large_bytes,
            max_connections=max_connections,
        ).info('memory shared out')

    def render(self) -> Iterator[str]:
        """Yield lines in the text format of Prometheus."""
        gauges = Gauges()
        gauges.set(CounterKey('held_bytes'), self.held_bytes)
        gauges.set(CounterKey('held_bytes_limit'), self._limit_bytes)
        yield from gauges.render()
        yield from self._counters.render()

    @property
    def _limit_bytes(self) -> float:
        return self._budget.limits.max_bytes

    def _record_loss(self, lost_bytes: int, phase: Phase) -> None:
        """Count a loss, and log it if few were logged lately."""
        self._counters.add(
            CounterKey('memory_losses', (('phase', phase.value),))
        )
        if not self._bucket.take():
            return
        logger.bind(
            phase=phase.value,
            lost_bytes=lost_bytes,
            held_bytes=self.held_bytes,
            max_bytes=self._limit_bytes,
            losses=self._budget.totals.losses,
        ).warning('caller refused or closed: no memory for what it holds')


def unlimited_memory() -> CallerMemory:
    """Return a budget that refuses nothing."""
    return CallerMemory(lambda: ByteLimits(math.inf, math.inf))


@functools.cache
def process_memory_bytes() -> int:
    """Return the memory of the machine, or of the process if it has a limit."""
    machine_bytes = os.sysconf('SC_PHYS_PAGES') * os.sysconf('SC_PAGE_SIZE')
    limit_bytes, _ = resource.getrlimit(resource.RLIMIT_AS)
    if limit_bytes == resource.RLIM_INFINITY:
        return machine_bytes
    return min(machine_bytes, limit_bytes)
