"""Status objects: size and processor time by number of series."""

from __future__ import annotations

import time
from collections.abc import Iterator

from _figures import Figure
from _seeded_statuses import (
    PERIOD_S,
    seeded_histograms,
    make_series,
    make_status,
)
from attrs import frozen

from cowslipstep.metrics import MAX_STATUS_BYTES, Histograms, encode_bounded

_FEW_WORKSPACES = 10
_MANY_WORKSPACES = 80
_US_PER_S = 1000000
_MAX_CORE_SHARE = 0.01


@frozen
class _StatusCost:
    bytes_written: int
    cpu_s: float


def figures() -> Iterator[Figure]:
    """Yield sizes and times of status objects."""
    few = _measure(seeded_histograms(_FEW_WORKSPACES))
    many = _measure(seeded_histograms(_MANY_WORKSPACES))
    added_series = _count_series(_MANY_WORKSPACES) - _count_series(
        _FEW_WORKSPACES
    )
    added_bytes = many.bytes_written - few.bytes_written
    added_us = (many.cpu_s - few.cpu_s) * _US_PER_S
    yield Figure('status.bytes', few.bytes_written, 'B', MAX_STATUS_BYTES)
    yield Figure('status.bytes_per_series', added_bytes / added_series, 'B')
    yield Figure('status.encode_us_per_series', added_us / added_series, 'us')
    yield Figure(
        'status.core_share',
        few.cpu_s / PERIOD_S,
        'ratio',
        _MAX_CORE_SHARE,
    )


def _measure(histograms: Histograms) -> _StatusCost:
    begin_s = time.process_time()
    text = encode_bounded(make_status(histograms))
    return _StatusCost(len(text), time.process_time() - begin_s)


def _count_series(workspaces: int) -> int:
    return len(list(make_series(workspaces)))
