"""Sums of counters and histograms over several daemons."""

from __future__ import annotations

import collections
from collections.abc import Iterable

from cowslipstep.metrics._counters import CounterKey, Sample
from cowslipstep.metrics._durations import (
    DurationHistogram,
    decode_histogram,
    empty_histogram,
    encode_histogram,
)
from cowslipstep.metrics._histograms import EncodedSeries, Series


def merge_samples(samples: Iterable[Sample]) -> tuple[Sample, ...]:
    """Add up the samples of each counter.

    Examples
    --------
    >>> key = CounterKey('requests')
    >>> merge_samples([Sample(key, 1), Sample(key, 2)])[0].amount
    3
    """
    totals: dict[CounterKey, float] = collections.defaultdict(int)
    for sample in samples:
        totals[sample.key] += sample.amount
    return tuple(Sample(key, totals[key]) for key in sorted(totals))


def merge_histograms(
    encoded: Iterable[EncodedSeries],
) -> dict[Series, DurationHistogram]:
    """Add up the histograms of each series.

    Raises
    ------
    DocumentError
        If one of them cannot be decoded.
    """
    merged: dict[Series, DurationHistogram] = collections.defaultdict(
        empty_histogram,
    )
    for entry in encoded:
        merged[entry.series].add(decode_histogram(entry.encoded))
    return dict(merged)


def merge_series(
    encoded: Iterable[EncodedSeries],
) -> tuple[EncodedSeries, ...]:
    """Add up the histograms of each series and encode the sums."""
    merged = merge_histograms(encoded)
    return tuple(
        EncodedSeries(series, encode_histogram(merged[series]))
        for series in sorted(merged)
    )
