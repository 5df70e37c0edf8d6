"""Status objects with seeded figures, for benches."""

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
_NAMES = ('queue_wait', 'first_token', 'between_tokens', 'total')
_SEED = 20261204
_DURATIONS = 500


def series_of(workspaces: int) -> Iterator[Series]:
    """Yield the series that a daemon keeps for some workspaces."""
    for index in range(workspaces):
        for name in _NAMES:
            for rank in RANKS:
                yield Series(name, f'workspace-{index}', rank)


def seeded_histograms(workspaces: int) -> Histograms:
    """Return histograms with some durations in each series."""
    rng = random.Random(_SEED)
    histograms = Histograms()
    for series in series_of(workspaces):
        for _ in range(_DURATIONS):
            histograms.record(series, rng.lognormvariate(-2, 1))
    return histograms


def status_of(histograms: Histograms) -> Status:
    """Return the status of a daemon with some histograms."""
    counters = Counters()
    encoded = tuple(histograms.encode_each())
    for entry in encoded:
        counters.add(_requests(entry.series), _DURATIONS)
    return Status(
        DaemonIdentity('d0', 1, 'ebene', '127.0.0.1:80'),
        DAY,
        since_unix_s=0,
        written_at_unix_s=PERIOD_S,
        period_s=PERIOD_S,
        counters=counters.samples,
        histograms=encoded,
    )


def _requests(series: Series) -> CounterKey:
    labels = (
        ('workspace', series.workspace),
        ('rank', series.rank),
        ('verdict', 'completed'),
    )
    return CounterKey('requests', labels)
