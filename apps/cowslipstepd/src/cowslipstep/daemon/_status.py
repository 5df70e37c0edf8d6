"""Status object of this daemon, written to the platform at a slow pace."""

from __future__ import annotations

import collections
import time

import eventlet
from eventlet.semaphore import Semaphore
from loguru import logger

from cowslipstep.daemon._day_figures import DayFigures, snapshot
from cowslipstep.daemon._sampling import Sampler
from cowslipstep.daemon._state import DaemonState
from cowslipstep.daemon._status_object import StatusObject
from cowslipstep.metrics import Histograms, day_of
from cowslipstep.platform import PlatformUnavailable

_MAX_SAMPLE_PERIOD_S = 5
_MAX_FLEET_WRITES_PER_S = 6
_MAX_UNWRITTEN_DAYS = 2


class StatusWriter:
    """Writes this daemon's figures of the day.

    Parameters
    ----------
    state
        State of the daemon.
    """

    def __init__(self, state: DaemonState) -> None:
        self._state = state
        self._sampler = Sampler(state)
        self._object = StatusObject(state.platform)
        self._since_unix_s = time.time()
        self._next_write_s = time.monotonic()
        self._ended: collections.deque[DayFigures] = collections.deque(
            maxlen=_MAX_UNWRITTEN_DAYS,
        )
        # The last write of a planned stop must not be replaced by an older.
        self._writing = Semaphore()

    @property
    def period_s(self) -> float:
        """Time between writes, which grows with a large fleet, seconds."""
        paced_s = len(self._state.live_daemons) / _MAX_FLEET_WRITES_PER_S
        return max(self._state.settings.status_period_s, paced_s)

    def run(self) -> None:
        """Sample and write until the task ends."""
        while True:
            self.step()
            eventlet.sleep(min(_MAX_SAMPLE_PERIOD_S, self.period_s))

    def step(self) -> None:
        """Sample, and write when the time has come."""
        self._sampler.sample()
        if day_of(time.time()) != day_of(self._since_unix_s):
            self._end_day()
        if time.monotonic() >= self._next_write_s:
            self._next_write_s = time.monotonic() + self.period_s
            self.write()

    def write(self) -> None:
        """Write the figures so far; what fails is written next time."""
        with self._writing:
            self._sampler.sample()
            today = self._figures(self._state.histograms)
            try:
                for figures in (*self._ended, today):
                    self._object.write(figures.object_name, figures.encode())
            except PlatformUnavailable as error:
                logger.warning('status not written: {}', error)
            else:
                self._ended.clear()

    def _end_day(self) -> None:
        """Set the figures of a day aside and begin with empty ones.

        They are written with the next status, so that daemons do not all
        write at midnight.
        """
        state = self._state
        self._ended.append(self._figures(state.histograms.take()))
        self._sampler.clear()
        for figures in (state.counters, state.requests, state.events):
            figures.clear()
        self._since_unix_s = time.time()

    def _figures(self, histograms: Histograms) -> DayFigures:
        status = snapshot(
            self._state,
            self._sampler,
            self._since_unix_s,
            self.period_s,
        )
        return DayFigures(status, histograms)
