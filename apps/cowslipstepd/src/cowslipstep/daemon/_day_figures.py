"""Figures of one day of this daemon, as they are written."""

from __future__ import annotations

import time
from collections.abc import Iterator

import eventlet
from attrs import evolve, frozen

from cowslipstep.daemon._sampling import Sampler
from cowslipstep.daemon._state import DaemonState
from cowslipstep.metrics import (
    DaemonIdentity,
    EncodedSeries,
    Histograms,
    Status,
    encode_bounded,
    utc_day,
)


@frozen
class DayFigures:
    """The status of a day, and histograms that are not yet encoded in it."""

    status: Status
    histograms: Histograms

    @property
    def object_name(self) -> str:
        """Name of the platform object that holds them."""
        return self.status.object_name

    def encode(self) -> str:
        """Return the text of the object; other tasks run meanwhile."""
        encoded = tuple(_encode_slowly(self.histograms))
        return encode_bounded(evolve(self.status, histograms=encoded))


def snapshot(
    state: DaemonState,
    sampler: Sampler,
    since_unix_s: float,
    period_s: float,
) -> Status:
    """Return the status of a daemon, without histograms."""
    status = Status(
        _identity(state),
        utc_day(since_unix_s),
        since_unix_s,
        time.time(),
        period_s,
        timeline=sampler.timeline,
        downtime=sampler.downtime,
        answered_tokens=sampler.answered_tokens,
    )
    return _filled(status, state)


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
