"""Status of this daemon for one day, as it is written to the platform."""

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
class DailyStatus:
    """Status of one day and its histograms, which are encoded when written."""

    status: Status
    histograms: Histograms

    @property
    def object_name(self) -> str:
        """Name of the platform object that holds the status."""
        return self.status.object_name

    def encode(self) -> str:
        """Return the text of the object; other tasks run between histograms."""
        encoded = tuple(_encode_cooperatively(self.histograms))
        return encode_bounded(evolve(self.status, histograms=encoded))


def current_status(
    state: DaemonState,
    sampler: Sampler,
    since_unix_s: float,
    period_s: float,
) -> Status:
    """Return the status since ``since_unix_s``, without histograms."""
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
    return _with_metrics(status, state)


def _identity(state: DaemonState) -> DaemonIdentity:
    settings = state.settings
    return DaemonIdentity(
        settings.name,
        state.incarnation,
        settings.failure_domain,
        str(settings.http_address),
    )


def _encode_cooperatively(histograms: Histograms) -> Iterator[EncodedSeries]:
    for encoded in histograms.encode_each():
        yield encoded
        # Encoding all series without yielding would delay relayed streams.
        eventlet.sleep(0)


def _with_metrics(status: Status, state: DaemonState) -> Status:
    return evolve(
        status,
        configuration_version=state.version,
        stopping=state.stopping,
        counters=state.counters.samples,
        gauges=state.gauges.samples,
        events=state.events.events,
        requests=state.requests.records,
    )
