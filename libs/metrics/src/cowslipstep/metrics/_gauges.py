"""Gauges with labels: figures that rise and fall."""

from __future__ import annotations

from collections.abc import Iterator

from cowslipstep.metrics._counters import CounterKey, Sample
from cowslipstep.metrics._labels import render_series


class Gauges:
    """Latest figures by name and labels."""

    def __init__(self) -> None:
        self._figures: dict[CounterKey, float] = {}

    @property
    def samples(self) -> tuple[Sample, ...]:
        """All figures, in the order of their keys."""
        return tuple(
            Sample(key, self._figures[key]) for key in sorted(self._figures)
        )

    def set(self, key: CounterKey, figure: float) -> None:
        """Replace a figure."""
        self._figures[key] = figure

    def remove(self, key: CounterKey) -> None:
        """Remove a figure, if present, that no longer applies."""
        self._figures.pop(key, None)

    def render(self) -> Iterator[str]:
        """Yield lines in the text format of Prometheus."""
        for sample in self.samples:
            series = render_series(sample.key.name, sample.key.labels)
            yield f'{series} {sample.amount}'
