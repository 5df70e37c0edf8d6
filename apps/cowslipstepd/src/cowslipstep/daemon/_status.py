"""Status object of this daemon, written to the platform at a slow pace."""

from __future__ import annotations

import time
from collections.abc import Iterator

import eventlet
from attrs import evolve
from loguru import logger

from cowslipstep.daemon._sampling import Sampler
from cowslipstep.daemon._state import DaemonState
from cowslipstep.daemon._status_object import StatusObject
from cowslipstep.metrics import (
    DaemonIdentity,
    EncodedSeries,
    Histograms,
    Status,
    day_of,
    encode_bounded,
)
from cowslipstep.platform import PlatformUnavailable

_MAX_SAMPLE_PERIOD_S = 5
_MAX_FLEET_WRITES_PER_S = 6


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
        """Sample, and write when a day has ended or the time has come."""
        self._sampler.sample()
        if day_of(time.time()) != day_of(self._since_unix_s):
            self._end_day()
        if time.monotonic() >= self._next_write_s:
            self._next_write_s = time.monotonic() + self.period_s
            self.write()

    def write(self) -> None:
        """Write the figures so far; what fails is written next time."""
        self._sampler.sample()
        status = self._status()
        try:
            self._object.write(status.object_name, encode_bounded(status))
        except PlatformUnavailable as error:
            logger.warning('status not written: {}', error)

    def _end_day(self) -> None:
        """Write the last figures of a day and begin with empty ones."""
        self.write()
        self._sampler.clear()
        state = self._state
        for figures in (state.counters, state.histograms, state.requests):
            figures.clear()
        state.events.clear()
        self._since_unix_s = time.time()
        self._next_write_s = time.monotonic()

    def _status(self) -> Status:
        status = Status(
            _identity(self._state),
            day_of(self._since_unix_s),
            self._since_unix_s,
            time.time(),
            self.period_s,
            timeline=self._sampler.timeline,
            downtime=self._sampler.downtime,
        )
        return evolve(
            _filled(status, self._state),
            histograms=tuple(_encode_slowly(self._state.histograms)),
        )


def _identity(state: DaemonState) -> DaemonIdentity:
    settings = state.settings
    return DaemonIdentity(
        settings.name,
        state.incarnation,
        settings.failure_domain,
        str(settings.http_address),
    )


def _encode_slowly(histograms: Histograms) -> Iterator[EncodedSeries]:
    for encoded in histograms.encode_each():
        yield encoded
        # Encoding all series at once would hold up streams.
        eventlet.sleep(0)


def _filled(status: Status, state: DaemonState) -> Status:
    return evolve(
        status,
        configuration_version=state.version,
        stopping=state.stopping,
        counters=state.counters.samples,
        gauges=state.gauges.samples,
        events=state.events.events,
        requests=state.requests.records,
    )
