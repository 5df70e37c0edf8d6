"""Histograms for each workspace and rank."""

from __future__ import annotations

from collections.abc import Iterator

from attrs import frozen

from cowslipstep.metrics._durations import (
    DurationHistogram,
    empty_histogram,
    encode_histogram,
)
from cowslipstep.metrics._labels import Labels, render_series

_QUANTILES = (0.5, 0.95, 0.99)  # noqa: WPS432


@frozen(order=True)
class Series:
    """Name and labels of a histogram."""

    name: str
    workspace: str
    rank: str


@frozen
class EncodedSeries:
    """A histogram in the compressed format of HdrHistogram."""

    series: Series
    encoded: str


class Histograms:
    """Durations by name, workspace and rank.

    Parameters
    ----------
    by_series
        Durations recorded before, by default none.
    """

    def __init__(
        self,
        by_series: dict[Series, DurationHistogram] | None = None,
    ) -> None:
        self._by_series = by_series or {}

    def encode_each(self) -> Iterator[EncodedSeries]:
        """Yield all histograms, in the order of their series."""
        for series in sorted(self._by_series):
            encoded = encode_histogram(self._by_series[series])
            yield EncodedSeries(series, encoded)

    def record(self, series: Series, seconds: float) -> None:
        """Add one duration in seconds."""
        histogram = self._by_series.get(series)
        if histogram is None:
            histogram = empty_histogram()
            self._by_series[series] = histogram
        histogram.record(seconds)

    def detach(self) -> Histograms:
        """Return all durations as new histograms and leave these empty.

        Examples
        --------
        >>> histograms = Histograms()
        >>> histograms.record(Series('total', 'firm', 'urgent'), 1)
        >>> detached = histograms.detach()
        >>> (
        ...     len(list(detached.encode_each())),
        ...     len(list(histograms.encode_each())),
        ... )
        (1, 0)
        """
        detached = Histograms(self._by_series)
        self._by_series = {}
        return detached

    def render(self) -> Iterator[str]:
        """Yield text in the format of Prometheus, one text for each series."""
        for series in sorted(self._by_series):
            labels = (('workspace', series.workspace), ('rank', series.rank))
            yield render_histogram(series.name, labels, self._by_series[series])


def render_histogram(
    name: str, labels: Labels, histogram: DurationHistogram
) -> str:
    """Return quantiles and count of one histogram as text of Prometheus."""
    return '\n'.join(_lines(f'{name}_seconds', tuple(labels), histogram))


def _lines(
    name: str, labels: Labels, histogram: DurationHistogram
) -> Iterator[str]:
    bounds_s = histogram.quantiles_s(_QUANTILES)
    for quantile, bound_s in zip(_QUANTILES, bounds_s, strict=True):
        yield _line(name, (*labels, ('quantile', str(quantile))), bound_s)
    yield _line(f'{name}_count', labels, histogram.count)


def _line(name: str, labels: Labels, figure: float) -> str:
    series = render_series(name, labels)
    return f'{series} {figure}'
