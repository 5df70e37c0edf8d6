"""Figures of one day, merged over all daemons."""

from __future__ import annotations

import datetime
import itertools
from collections.abc import Iterable, Iterator
from typing import TypeVar

from attrs import field, frozen

from cowslipstep.metrics._counters import Sample
from cowslipstep.metrics._durations import DurationHistogram
from cowslipstep.metrics._events import Event
from cowslipstep.metrics._histograms import Series
from cowslipstep.metrics._merging import merge_histograms, merge_samples
from cowslipstep.metrics._requests import RequestRecord
from cowslipstep.metrics._slot_amounts import SlotAmount
from cowslipstep.metrics._status import Status
from cowslipstep.metrics._timeline import SlotCount

_Entry = TypeVar('_Entry', Event, RequestRecord)


@frozen
class MergedDay:
    """Figures of one day from all daemons, also those replaced since.

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
        Counts of requests in slots, not yet added up.
    downtime
        Downtime of groups in slots, by model, milliseconds, not yet added
        up.
    answered_tokens
        Estimated tokens of answered requests in slots, by rank, not yet
        added up.
    """

    name: str
    statuses: tuple[Status, ...] = ()
    counters: tuple[Sample, ...] = ()
    histograms: dict[Series, DurationHistogram] = field(factory=dict)
    events: tuple[Event, ...] = ()
    requests: tuple[RequestRecord, ...] = ()
    timeline: tuple[SlotCount, ...] = ()
    downtime: tuple[SlotAmount, ...] = ()
    answered_tokens: tuple[SlotAmount, ...] = ()

    def select(self, name: str) -> Iterator[Sample]:
        """Yield the counters of a name."""
        for sample in self.counters:
            if sample.key.name == name:
                yield sample

    def total(self, name: str, **labels: str) -> float:
        """Add up all counters of a name that have some labels.

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
    """Return the day of a wall clock, in UTC.

    Examples
    --------
    >>> utc_day(0)
    '1970-01-01'
    """
    moment = datetime.datetime.fromtimestamp(unix_s, datetime.UTC)
    return moment.date().isoformat()


def merge_day(name: str, statuses: Iterable[Status]) -> MergedDay:
    """Merge the statuses of a day; those of other days are left out.

    Raises
    ------
    DocumentError
        If a histogram cannot be decoded.
    """
    kept = tuple(status for status in statuses if status.day == name)
    chain = itertools.chain.from_iterable
    return MergedDay(
        name,
        kept,
        merge_samples(chain(status.counters for status in kept)),
        merge_histograms(chain(status.histograms for status in kept)),
        _in_order(chain(status.events for status in kept)),
        _in_order(chain(status.requests for status in kept)),
        tuple(chain(status.timeline for status in kept)),
        tuple(chain(status.downtime for status in kept)),
        tuple(chain(status.answered_tokens for status in kept)),
    )


def _in_order(entries: Iterable[_Entry]) -> tuple[_Entry, ...]:
    return tuple(sorted(entries, key=lambda entry: entry.at_unix_s))
