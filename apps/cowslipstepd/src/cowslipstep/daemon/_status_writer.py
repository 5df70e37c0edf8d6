"""Periodic writes of this daemon's status objects to the platform."""

from __future__ import annotations

import collections
import time

import eventlet
from eventlet.semaphore import Semaphore
from loguru import logger

from cowslipstep.daemon._daily_status import DailyStatus, current_status
from cowslipstep.daemon._sampling import Sampler
from cowslipstep.daemon._state import DaemonState
from cowslipstep.daemon._status_index import StatusIndexObject
from cowslipstep.daemon._status_object import StatusObject
from cowslipstep.daemon._status_periods import index_period_s, status_period_s
from cowslipstep.metrics import Histograms, StatusIndex, utc_day
from cowslipstep.model import CowslipstepError

_MAX_SAMPLE_PERIOD_S = 5
# Ended days that wait for a successful write; older ones are dropped.
_MAX_UNWRITTEN_DAYS = 1


class StatusWriter:
    """Samples this daemon's metrics and writes its status of the day.

    Parameters
    ----------
    state
        State of the daemon.
    """

    def __init__(self, state: DaemonState) -> None:
        self._state = state
        self._sampler = Sampler(state)
        self._object = StatusObject(state.platform)
        self._index = StatusIndexObject(state.platform)
        self._since_unix_s = time.time()
        self._next_write_s = time.monotonic()
        self._ended_days: collections.deque[DailyStatus] = collections.deque(
            maxlen=_MAX_UNWRITTEN_DAYS,
        )
        # Serializes writes: an older one could otherwise replace the last write
        # of a planned stop.
        self._writing = Semaphore()

    def run(self) -> None:
        """Sample and write until the task ends."""
        while True:
            self.step()
            eventlet.sleep(
                min(_MAX_SAMPLE_PERIOD_S, status_period_s(self._state))
            )

    def step(self) -> None:
        """Sample, and write if the period of writes has passed."""
        self._sampler.sample()
        if utc_day(time.time()) != utc_day(self._since_unix_s):
            self._end_day()
        if time.monotonic() >= self._next_write_s:
            period_s = status_period_s(self._state)
            self._next_write_s = time.monotonic() + period_s
            self.write()

    def write(self) -> None:
        """Write the status so far; a failed write is repeated with the next."""
        with self._writing:
            self._sampler.sample()
            today = self._daily_status(self._state.histograms)
            try:
                self._write_all((*self._ended_days, today))
            except (CowslipstepError, ExceptionGroup) as error:
                logger.warning(
                    'status not written, trying again in the next period: {}',
                    error,
                )
            else:
                self._ended_days.clear()

    def _write_all(self, days: tuple[DailyStatus, ...]) -> None:
        """Write the index first, so that it lists each object that exists."""
        names = tuple(day.object_name for day in days)
        self._index.write_if_due(
            StatusIndex(
                days[-1].status.daemon,
                time.time(),
                index_period_s(self._state),
                self._state.stopping,
                names,
            ),
        )
        for day in days:
            self._object.write(day.object_name, day.encode())

    def _end_day(self) -> None:
        """Keep the status of the ended day for the next write, and reset.

        It is not written at once, so that daemons do not all write at
        midnight.
        """
        state = self._state
        self._ended_days.append(self._daily_status(state.histograms.detach()))
        self._sampler.clear()
        for metrics in (state.counters, state.requests, state.events):
            metrics.clear()
        self._since_unix_s = time.time()

    def _daily_status(self, histograms: Histograms) -> DailyStatus:
        status = current_status(
            self._state,
            self._sampler,
            self._since_unix_s,
            status_period_s(self._state),
        )
        return DailyStatus(status, histograms)
