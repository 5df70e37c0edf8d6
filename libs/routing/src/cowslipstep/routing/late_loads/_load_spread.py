"""Spread of the load over the leaders of a model, as one daemon sees it.

Load pattern: many daemons choose at the same moment by loads that are
slightly out of date, so that some groups have long queues while others have
free slots. Each daemon samples the loads by which it chooses; the samples of
one period are evaluated together.
"""

from __future__ import annotations

import math
import statistics
from collections import Counter
from collections.abc import Iterable, Sequence

from attrs import define, field, frozen

from cowslipstep.fleet import ServedModel

# A choice made this soon after a sample of the same model is not sampled, so
# that the cost does not grow with the rate of requests.
_SAMPLE_INTERVAL_S = 0.1
_HIGH_PERCENTILE = 0.99


@frozen
class LoadSpread:
    """Requests in progress at the leaders of one model in one period.

    Parameters
    ----------
    mean
        Mean number of requests at a leader.
    high
        99th percentile of this number.
    largest
        Largest number.
    leaders
        Number of leaders at the last sample.
    report_age_s
        Mean age of the reports that were used, seconds since they arrived.
    samples
        Number of samples.
    """

    mean: float
    high: int
    largest: int
    leaders: int
    report_age_s: float
    samples: int


@define
class _Samples:
    """Samples of one model.

    Attributes
    ----------
    due_s
        Clock reading from which on the next choice is sampled.
    counts
        How often each number of requests was seen at a leader.
    """

    due_s: float
    counts: Counter[int] = field(factory=Counter)
    leaders: int = 0
    report_ages_s: list[float] = field(factory=list)

    def spread(self) -> LoadSpread:
        """Evaluate the samples."""
        return LoadSpread(
            statistics.fmean(self.counts, self.counts.values()),
            _percentile(self.counts, _HIGH_PERCENTILE),
            max(self.counts),
            self.leaders,
            statistics.fmean(self.report_ages_s),
            len(self.report_ages_s),
        )


class LoadSamples:
    """Samples of the loads by which a daemon chooses, by model.

    Examples
    --------
    >>> samples = LoadSamples()
    >>> served = ServedModel('engines', 'small')
    >>> if samples.is_due(served, 1):
    ...     samples.add(served, (2, 4), (0.1, 0.3))
    >>> samples.is_due(served, 1.05)
    False
    >>> samples.finish_period()[served].mean
    3.0
    """

    def __init__(self) -> None:
        self._samples: dict[ServedModel, _Samples] = {}
        self._spreads: dict[ServedModel, LoadSpread] = {}

    @property
    def spreads(self) -> dict[ServedModel, LoadSpread]:
        """The spread of each model in the last period that is complete."""
        return self._spreads

    def is_due(self, served: ServedModel, now_s: float) -> bool:
        """Return whether to sample a choice; if so, begin the next interval.

        Parameters
        ----------
        served
            The model.
        now_s
            Reading of a monotonic clock, seconds.
        """
        samples = self._samples.get(served)
        if samples is None:
            samples = _Samples(now_s)
            self._samples[served] = samples
        if now_s < samples.due_s:
            return False
        samples.due_s = now_s + _SAMPLE_INTERVAL_S
        return True

    def add(
        self,
        served: ServedModel,
        loads: Iterable[int],
        report_ages_s: Sequence[float],
    ) -> None:
        """Record the known loads of the leaders of a model that was due.

        Parameters
        ----------
        served
            The model.
        loads
            Requests in progress at each leader, over all daemons.
        report_ages_s
            Ages of the reports that the loads come from, seconds; a daemon
            without reports knows its own requests only.
        """
        samples = self._samples[served]
        listed = tuple(loads)
        if not listed:
            return
        samples.counts.update(listed)
        samples.leaders = len(listed)
        samples.report_ages_s.append(statistics.fmean(report_ages_s or (0,)))

    def finish_period(self) -> dict[ServedModel, LoadSpread]:
        """Return the spread of each model that was sampled; start afresh."""
        self._spreads = {
            served: samples.spread()
            for served, samples in self._samples.items()
            if samples.report_ages_s
        }
        self._samples = {}
        return self._spreads


def _percentile(counts: Counter[int], share: float) -> int:
    """Return the least number that this share of the samples is at most."""
    left = math.ceil(share * counts.total())
    for load in sorted(counts):
        left -= counts[load]
        if left <= 0:
            return load
    raise ValueError('expected at least one sample')
