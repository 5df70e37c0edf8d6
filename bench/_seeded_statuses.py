"""Status objects with seeded random durations, for benches."""

from __future__ import annotations

import random
from collections.abc import Iterator

from cowslipstep.metrics import (
    CounterKey,
    Counters,
    DaemonIdentity,
    Histograms,
    Series,
    Status,
)

DAY = '2026-12-04'
RANKS = ('urgent', 'normal', 'background')
PERIOD_S = 60
_HISTOGRAM_NAMES = ('queue_wait', 'first_token', 'between_tokens', 'total')
_SEED = 20261204
_DURATIONS_PER_SERIES = 500


def make_series(workspaces: int) -> Iterator[Series]:
    """Yield the series that a daemon records for a number of workspaces."""
    for index in range(workspaces):
        for name in _HISTOGRAM_NAMES:
            for rank in RANKS:
                yield Series(name, f'workspace-{index}', rank)


def seeded_histograms(workspaces: int) -> Histograms:
    """Return histograms with 500 random durations in each series."""
    rng = random.Random(_SEED)
    histograms = Histograms()
    for series in make_series(workspaces):
        for _ in range(_DURATIONS_PER_SERIES):
            histograms.record(series, rng.lognormvariate(-2, 1))
    return histograms


def make_status(histograms: Histograms) -> Status:
    """Return the status of a daemon that recorded these histograms."""
    counters = Counters()
    encoded = tuple(histograms.encode_each())
    for entry in encoded:
        counters.add(
            _completed_requests_key(entry.series), _DURATIONS_PER_SERIES
        )
    return Status(
        DaemonIdentity('d0', 1, 'ebene', '127.0.0.1:80'),
        DAY,
        since_unix_s=0,
        written_at_unix_s=PERIOD_S,
        period_s=PERIOD_S,
        counters=counters.samples,
        histograms=encoded,
    )


def _completed_requests_key(series: Series) -> CounterKey:
    labels = (
        ('workspace', series.workspace),
        ('rank', series.rank),
        ('verdict', 'completed'),
    )
    return CounterKey('requests', labels)
