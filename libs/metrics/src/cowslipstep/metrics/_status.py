"""Status object of a daemon: its metrics of one day."""

from __future__ import annotations

import json

from attrs import field, frozen

from cowslipstep.metrics._counter_growth import TimeSlotAmount
from cowslipstep.metrics._counters import Sample
from cowslipstep.metrics._events import Event
from cowslipstep.metrics._histograms import EncodedSeries
from cowslipstep.metrics._requests import RequestRecord
from cowslipstep.metrics._timeline import TimeSlotCount
from cowslipstep.settings import parse_json, structure, unstructure


@frozen(order=True)
class DaemonIdentity:
    """One run of a daemon.

    Parameters
    ----------
    name
        Name of the daemon.
    incarnation
        Number of the run; a restarted daemon has a higher one.
    failure_domain
        Failure domain of its host.
    http_address
        Address of its HTTP endpoint, ``ip:port``.
    """

    name: str
    incarnation: int
    failure_domain: str
    http_address: str


@frozen
class Status:
    """Metrics of one run of a daemon on one day.

    Parameters
    ----------
    daemon
        The daemon that wrote it.
    day
        The day in UTC, for example ``2026-12-04``.
    since_unix_s
        Wall clock when counting began, seconds since 1970.
    written_at_unix_s
        Wall clock of the last write, seconds since 1970.
    period_s
        Time to the next write, seconds.
    configuration_version
        Version of the configuration in force; zero for none.
    stopping
        Whether a planned stop has begun.
    """

    daemon: DaemonIdentity
    day: str
    since_unix_s: float
    written_at_unix_s: float
    period_s: float
    configuration_version: int = 0
    stopping: bool = False
    counters: tuple[Sample, ...] = ()
    gauges: tuple[Sample, ...] = ()
    histograms: tuple[EncodedSeries, ...] = ()
    events: tuple[Event, ...] = ()
    requests: tuple[RequestRecord, ...] = ()
    timeline: tuple[TimeSlotCount, ...] = ()
    downtime: tuple[TimeSlotAmount, ...] = ()
    answered_tokens: tuple[TimeSlotAmount, ...] = field(default=())

    @property
    def object_name(self) -> str:
        """Name of the platform object that stores the status."""
        daemon = self.daemon
        return f'{daemon.name}-{daemon.incarnation}-{self.day}'


def encode_status(status: Status) -> str:
    """Return the JSON text of a status object."""
    return json.dumps(unstructure(status), separators=(',', ':'))


def decode_status(text: str) -> Status:
    """Read a status object from JSON text.

    Raises
    ------
    ExceptionGroup
        Holds one ``DocumentError`` for each mistake.
    """
    return structure(parse_json(text), Status)
