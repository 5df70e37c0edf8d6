"""Counters with labels."""

from __future__ import annotations

import collections
import itertools
from collections.abc import Iterator

from attrs import frozen

from cowslipstep.metrics._labels import render_series, render_type


@frozen(order=True)
class CounterKey:
    """Name and labels of a counter.

    Examples
    --------
    >>> CounterKey('requests', (('rank', 'urgent'),)).label('rank')
    'urgent'
    """

    name: str
    labels: tuple[tuple[str, str], ...] = ()

    def label(self, name: str) -> str:
        """Return the text of a label, empty if there is none."""
        return dict(self.labels).get(name, '')

    def render(self) -> str:
        """Return name and labels in the text format of Prometheus.

        Examples
        --------
        >>> CounterKey('answers', (('verdict', 'completed'),)).render()
        'cowslipstep_answers_total{verdict="completed"}'
        """
        return render_series(f'{self.name}_total', self.labels)


@frozen
class Sample:
    """The figure of a counter or gauge at one time."""

    key: CounterKey
    amount: float


class Counters:
    """Counts that only grow until they are cleared."""

    def __init__(self) -> None:
        self._counts: collections.Counter[CounterKey] = collections.Counter()

    @property
    def samples(self) -> tuple[Sample, ...]:
        """All counts, in the order of their keys."""
        return tuple(
            Sample(key, self._counts[key]) for key in sorted(self._counts)
        )

    def add(self, key: CounterKey, amount: int = 1) -> None:
        """Add to a counter."""
        self._counts[key] += amount

    def clear(self) -> None:
        """Remove all counters."""
        self._counts.clear()

    def render(self) -> Iterator[str]:
        """Yield lines in the text format of Prometheus."""
        by_name = itertools.groupby(self.samples, _name)
        for name, samples in by_name:
            yield render_type(f'{name}_total', 'counter')
            yield from map(_render, samples)


def _render(sample: Sample) -> str:
    series = sample.key.render()
    return f'{series} {sample.amount}'


def _name(sample: Sample) -> str:
    return sample.key.name
