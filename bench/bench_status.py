"""Status objects: bytes and processor time by series."""

from __future__ import annotations

import time
from collections.abc import Iterator

from _figures import Figure
from _statuses import PERIOD_S, seeded_histograms, series_of, status_of
from attrs import frozen

from cowslipstep.metrics import MAX_STATUS_BYTES, Histograms, encode_bounded

_FEW_WORKSPACES = 10
_MANY_WORKSPACES = 80
_US_PER_S = 1000000
_CORE_SHARE = 0.01


@frozen
class _Cost:
    bytes_written: int
    cpu_s: float


def figures() -> Iterator[Figure]:
    """Yield sizes and times of status objects."""
    few = _measure(seeded_histograms(_FEW_WORKSPACES))
    many = _measure(seeded_histograms(_MANY_WORKSPACES))
    added = _count(_MANY_WORKSPACES) - _count(_FEW_WORKSPACES)
    grown_bytes = many.bytes_written - few.bytes_written
    grown_us = (many.cpu_s - few.cpu_s) * _US_PER_S
    yield Figure('status.bytes', few.bytes_written, 'B', MAX_STATUS_BYTES)
    yield Figure('status.bytes_per_series', grown_bytes / added, 'B')
    yield Figure('status.encode_us_per_series', grown_us / added, 'us')
    yield Figure(
        'status.core_share',
        few.cpu_s / PERIOD_S,
        'ratio',
        _CORE_SHARE,
    )


def _measure(histograms: Histograms) -> _Cost:
    begin_s = time.process_time()
    text = encode_bounded(status_of(histograms))
    return _Cost(len(text), time.process_time() - begin_s)


def _count(workspaces: int) -> int:
    return len(list(series_of(workspaces)))
