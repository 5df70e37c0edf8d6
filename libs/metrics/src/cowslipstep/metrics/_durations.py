"""Histogram of durations with a relative error of one percent."""

from __future__ import annotations

from collections.abc import Sequence

from hdrh.histogram import HdrHistogram

from cowslipstep.model import DocumentError

_US_PER_S = 1000000
_MIN_RECORDED_US = 1
_MAX_RECORDED_US = 3600000000
_SIGNIFICANT_DIGITS = 2
_PERCENT_PER_WHOLE = 100


class DurationHistogram:
    """Histogram of durations in seconds.

    Durations are counted in microseconds; longer ones than an hour count as
    one hour.

    Parameters
    ----------
    counts
        Histogram of microseconds that holds the counts.
    """

    def __init__(self, counts: HdrHistogram) -> None:
        self._counts = counts

    @property
    def counts(self) -> HdrHistogram:
        """The underlying histogram of microseconds."""
        return self._counts

    @property
    def count(self) -> int:
        """Number of durations."""
        return int(self._counts.total_count)

    def record(self, seconds: float) -> None:
        """Add one duration."""
        microseconds = max(_MIN_RECORDED_US, int(seconds * _US_PER_S))
        self._counts.record_value(min(microseconds, _MAX_RECORDED_US))

    def add(self, other: DurationHistogram) -> None:
        """Add all durations of another histogram."""
        self._counts.add(other.counts)

    def quantiles_s(self, quantiles: Sequence[float]) -> list[float]:
        """Return the quantiles of the durations, seconds.

        All of them are found in one pass over the counts.

        Examples
        --------
        >>> histogram = empty_histogram()
        >>> histogram.record(0.1)
        >>> [
        ...     round(quantile_s, 2)
        ...     for quantile_s in histogram.quantiles_s([0.5, 1])
        ... ]
        [0.1, 0.1]
        """
        percents = [quantile * _PERCENT_PER_WHOLE for quantile in quantiles]
        bounds_us = self._counts.get_percentile_to_value_dict(percents)
        return [bounds_us.get(percent, 0) / _US_PER_S for percent in percents]

    def count_within(self, limit_s: float) -> int:
        """Return how many durations are at most ``limit_s`` seconds.

        Examples
        --------
        >>> histogram = empty_histogram()
        >>> for seconds in (0.1, 0.2, 3):
        ...     histogram.record(seconds)
        >>> histogram.count_within(1)
        2
        """
        return sum(
            entry.count_at_value_iterated_to
            for entry in self._counts.get_recorded_iterator()
            if entry.value_iterated_to <= limit_s * _US_PER_S
        )


def empty_histogram() -> DurationHistogram:
    """Return an empty histogram."""
    return DurationHistogram(
        HdrHistogram(_MIN_RECORDED_US, _MAX_RECORDED_US, _SIGNIFICANT_DIGITS),
    )


def encode_histogram(histogram: DurationHistogram) -> str:
    """Return a histogram in the compressed format of HdrHistogram."""
    return str(histogram.counts.encode().decode())


def decode_histogram(text: str) -> DurationHistogram:
    """Read a histogram in the compressed format of HdrHistogram.

    Raises
    ------
    DocumentError
        If the text is no such histogram.

    Examples
    --------
    >>> decode_histogram(encode_histogram(empty_histogram())).count
    0
    """
    try:
        return DurationHistogram(HdrHistogram.decode(text))
    except Exception as error:
        message = f'not a histogram: {type(error).__name__}'
    raise DocumentError('$', message)
