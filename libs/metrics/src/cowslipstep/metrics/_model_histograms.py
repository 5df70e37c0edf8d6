"""Histograms of the responses of each model on each route."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator

from attrs import frozen

from cowslipstep.metrics._durations import DurationHistogram, empty_histogram
from cowslipstep.metrics._histograms import render_histogram


@frozen(order=True)
class ModelSeries:
    """Name and labels of a histogram."""

    name: str
    model: str
    route: str


class ModelHistograms:
    """Durations by name, model and route.

    Examples
    --------
    >>> histograms = ModelHistograms()
    >>> histograms.record(ModelSeries('first_event', 'm', 'drafts'), 0.25)
    >>> next(histograms.render()).splitlines()[-1]
    'cowslipstep_first_event_seconds_count{model="m",route="drafts"} 1'
    """

    def __init__(self) -> None:
        self._by_series: defaultdict[ModelSeries, DurationHistogram] = (
            defaultdict(empty_histogram)
        )

    def record(self, series: ModelSeries, seconds: float) -> None:
        """Add one duration in seconds."""
        self._by_series[series].record(seconds)

    def render(self) -> Iterator[str]:
        """Yield text in the format of Prometheus, one text for each series."""
        for series in sorted(self._by_series):
            labels = (('model', series.model), ('route', series.route))
            yield render_histogram(series.name, labels, self._by_series[series])
