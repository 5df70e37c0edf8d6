"""Status objects that fit the platform's largest object."""

from __future__ import annotations

from typing import TypeVar

from attrs import evolve

from cowslipstep.metrics._folding import fold_counters, fold_series, largest
from cowslipstep.metrics._status import Status, encode_status

MAX_STATUS_BYTES = 900000
_MAX_ROUNDS = 24
_Entry = TypeVar('_Entry')


def encode_bounded(status: Status, max_bytes: int = MAX_STATUS_BYTES) -> str:
    """Return the JSON text of a status object, shortened until it fits.

    The oldest events and requests go first; then the workspaces with the
    fewest requests are counted together, so that totals stay whole.
    """
    text = encode_status(status)
    for _ in range(_MAX_ROUNDS):
        if len(text) <= max_bytes:
            break
        status = _shorten(status)
        text = encode_status(status)
    return text


def _shorten(status: Status) -> Status:
    if status.events or status.requests:
        return evolve(
            status,
            events=_newer_half(status.events),
            requests=_newer_half(status.requests),
        )
    kept = largest(status.counters)
    return evolve(
        status,
        counters=fold_counters(status.counters, kept),
        histograms=fold_series(status.histograms, kept),
    )


def _newer_half(entries: tuple[_Entry, ...]) -> tuple[_Entry, ...]:
    return entries[(len(entries) + 1) // 2 :]
