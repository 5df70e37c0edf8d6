"""Shortening of status objects to the platform's limit on object size."""

from __future__ import annotations

from typing import TypeVar

from attrs import evolve

from cowslipstep.metrics._aggregation import (
    aggregate_counters,
    aggregate_series,
    largest_workspaces,
)
from cowslipstep.metrics._status import Status, encode_status

MAX_STATUS_BYTES = 900000
_MAX_SHORTENING_ROUNDS = 24
_Entry = TypeVar('_Entry')


def encode_bounded(status: Status, max_bytes: int = MAX_STATUS_BYTES) -> str:
    """Return the JSON text of a status object, shortened to fit a limit.

    The older halves of events and requests are dropped first, repeatedly;
    then the smaller half of the workspaces is aggregated under one name,
    repeatedly, which leaves the totals unchanged. A text that does not fit
    after ``_MAX_SHORTENING_ROUNDS`` rounds is returned nevertheless.
    """
    text = encode_status(status)
    for _ in range(_MAX_SHORTENING_ROUNDS):
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
    separate = largest_workspaces(status.counters)
    return evolve(
        status,
        counters=aggregate_counters(status.counters, separate),
        histograms=aggregate_series(status.histograms, separate),
    )


def _newer_half(entries: tuple[_Entry, ...]) -> tuple[_Entry, ...]:
    return entries[(len(entries) + 1) // 2 :]
