"""Metrics of one day, merged over all daemons."""

from __future__ import annotations

import datetime
import itertools
from collections.abc import Iterable, Iterator
from typing import TypeVar

from attrs import field, frozen

from cowslipstep.metrics._counter_growth import TimeSlotAmount
from cowslipstep.metrics._counters import Sample
from cowslipstep.metrics._durations import DurationHistogram
from cowslipstep.metrics._events import Event
from cowslipstep.metrics._histograms import Series
from cowslipstep.metrics._merging import merge_histograms, merge_samples
from cowslipstep.metrics._requests import RequestRecord
from cowslipstep.metrics._status import Status
from cowslipstep.metrics._timeline import TimeSlotCount

_Entry = TypeVar('_Entry', Event, RequestRecord)


@frozen
class MergedDay:
    """Metrics of one day from all daemons, also from those replaced since.

    Parameters
    ----------
    name
        The day in UTC, for example ``2026-12-04``.
    statuses
        The last status of each run of each daemon.
    counters
        Sums over all daemons.
    histograms
        Sums over all daemons.
    events
        Events in order of time.
    requests
        Refused and uncertain requests in order of time.
    timeline
        Counts of requests by time slot, an entry for each daemon.
    downtime
        Downtime of groups by time slot and model, milliseconds, an entry for
        each daemon.
    answered_tokens
        Estimated tokens of answered requests by time slot and rank, an entry
        for each daemon.
    """

    name: str
    statuses: tuple[Status, ...] = ()
    counters: tuple[Sample, ...] = ()
    histograms: dict[Series, DurationHistogram] = field(factory=dict)
    events: tuple[Event, ...] = ()
    requests: tuple[RequestRecord, ...] = ()
    timeline: tuple[TimeSlotCount, ...] = ()
    downtime: tuple[TimeSlotAmount, ...] = ()
    answered_tokens: tuple[TimeSlotAmount, ...] = ()

    def select(self, name: str) -> Iterator[Sample]:
        """Yield the counters of a name."""
        for sample in self.counters:
            if sample.key.name == name:
                yield sample

    def total(self, name: str, **labels: str) -> float:
        """Add up all counters of a name that have all the given labels.

        Examples
        --------
        >>> from cowslipstep.metrics import CounterKey
        >>> key = CounterKey('requests', (('rank', 'urgent'),))
        >>> day = MergedDay('2026-12-04', counters=(Sample(key, 2),))
        >>> day.total('requests', rank='urgent')
        2
        """
        return sum(
            sample.amount
            for sample in self.select(name)
            if labels.items() <= dict(sample.key.labels).items()
        )


def utc_day(unix_s: float) -> str:
    """Return the day, in UTC, of a wall-clock time in seconds since 1970.

    Examples
    --------
    >>> utc_day(0)
    '1970-01-01'
    """
    moment = datetime.datetime.fromtimestamp(unix_s, datetime.UTC)
    return moment.date().isoformat()


def merge_day(name: str, statuses: Iterable[Status]) -> MergedDay:
    """Merge the statuses of a day; those of other days are ignored.

    Raises
    ------
    DocumentError
        If a histogram cannot be decoded.
    """
    same_day = tuple(status for status in statuses if status.day == name)
    chain = itertools.chain.from_iterable
    return MergedDay(
        name,
        same_day,
        merge_samples(chain(status.counters for status in same_day)),
        merge_histograms(chain(status.histograms for status in same_day)),
        _in_order(chain(status.events for status in same_day)),
        _in_order(chain(status.requests for status in same_day)),
        tuple(chain(status.timeline for status in same_day)),
        tuple(chain(status.downtime for status in same_day)),
        tuple(chain(status.answered_tokens for status in same_day)),
    )


def _in_order(entries: Iterable[_Entry]) -> tuple[_Entry, ...]:
    return tuple(sorted(entries, key=lambda entry: entry.at_unix_s))
