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
from cowslipstep.daemon._status_index import IndexObject
from cowslipstep.daemon._status_object import StatusObject
from cowslipstep.daemon._status_pace import index_period_s, status_period_s
from cowslipstep.metrics import Histograms, StatusIndex, utc_day
from cowslipstep.model import CowslipstepError

_MAX_SAMPLE_PERIOD_S = 5
# Older days are not kept.
_MAX_UNWRITTEN_DAYS = 1


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
        self._index = IndexObject(state.platform)
        self._since_unix_s = time.time()
        self._next_write_s = time.monotonic()
        self._ended: collections.deque[DayFigures] = collections.deque(
            maxlen=_MAX_UNWRITTEN_DAYS,
        )
        # The last write of a planned stop must not be replaced by an older.
        self._writing = Semaphore()

    def run(self) -> None:
        """Sample and write until the task ends."""
        while True:
            self.step()
            eventlet.sleep(
                min(_MAX_SAMPLE_PERIOD_S, status_period_s(self._state))
            )

    def step(self) -> None:
        """Sample, and write when the time has come."""
        self._sampler.sample()
        if utc_day(time.time()) != utc_day(self._since_unix_s):
            self._end_day()
        if time.monotonic() >= self._next_write_s:
            period_s = status_period_s(self._state)
            self._next_write_s = time.monotonic() + period_s
            self.write()

    def write(self) -> None:
        """Write the figures so far; what fails is written next time."""
        with self._writing:
            self._sampler.sample()
            today = self._figures(self._state.histograms)
            try:
                self._write_all((*self._ended, today))
            except (CowslipstepError, ExceptionGroup) as error:
                logger.warning('status not written: {}', error)
            else:
                self._ended.clear()

    def _write_all(self, days: tuple[DayFigures, ...]) -> None:
        """Write days; the index names an object before it exists."""
        names = tuple(figures.object_name for figures in days)
        self._index.note(
            StatusIndex(
                days[-1].status.daemon,
                time.time(),
                index_period_s(self._state),
                self._state.stopping,
                names,
            ),
        )
        for figures in days:
            self._object.write(figures.object_name, figures.encode())

    def _end_day(self) -> None:
        """Set the figures of a day aside and begin with empty ones.

        They are written with the next status, so that daemons do not all
        write at midnight.
        """
        state = self._state
        self._ended.append(self._figures(state.histograms.detach()))
        self._sampler.clear()
        for figures in (state.counters, state.requests, state.events):
            figures.clear()
        self._since_unix_s = time.time()

    def _figures(self, histograms: Histograms) -> DayFigures:
        status = snapshot(
            self._state,
            self._sampler,
            self._since_unix_s,
            status_period_s(self._state),
        )
        return DayFigures(status, histograms)
