"""Cost of a slot request and of a grant by the length of the queue."""

from __future__ import annotations

import itertools
import time
import tracemalloc
from collections.abc import Callable, Iterator

from _dispatch_load import make_dispatcher_load
from _figures import Figure

_QUEUE_LENGTHS = (100, 1000, 10000)
_OPERATIONS_PER_BATCH = 1000
_BATCHES = 5
_US_PER_S = 1000000
_MAX_LOGARITHMIC_GROWTH = 2


def cost_figures() -> Iterator[Figure]:
    """Yield costs in microseconds, their growth, and bytes a queued request."""
    # The measured slot request itself brings the queue to its full length.
    request_costs_us = {
        queue_length: _shortest_us(
            make_dispatcher_load(queue_length - 1).submit_and_withdraw
        )
        for queue_length in _QUEUE_LENGTHS
    }
    grant_costs_us = {
        queue_length: _shortest_us(
            make_dispatcher_load(queue_length).release_and_submit
        )
        for queue_length in _QUEUE_LENGTHS
    }
    for queue_length in _QUEUE_LENGTHS:
        yield Figure(
            f'dispatch.ask_us.{queue_length}_queued',
            request_costs_us[queue_length],
            'us',
        )
        yield Figure(
            f'dispatch.grant_us.{queue_length}_queued',
            grant_costs_us[queue_length],
            'us',
        )
    yield _growth_figure('ask', request_costs_us)
    yield _growth_figure('grant', grant_costs_us)
    yield Figure(
        'dispatch.bytes_per_queued_ask', _bytes_per_slot_request(), 'bytes'
    )


def _growth_figure(name: str, costs_us: dict[int, float]) -> Figure:
    ratio = costs_us[_QUEUE_LENGTHS[-1]] / costs_us[_QUEUE_LENGTHS[0]]
    return Figure(
        f'dispatch.{name}_growth_100x',
        ratio,
        'ratio',
        bound=_MAX_LOGARITHMIC_GROWTH,
    )


def _bytes_per_slot_request() -> float:
    tracemalloc.start()
    load = make_dispatcher_load(_QUEUE_LENGTHS[-1])
    used = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return used / load.queued


def _shortest_us(operation: Callable[[], None]) -> float:
    """Return the shortest mean of several batches.

    Other processes on the machine only lengthen a batch.
    """
    return min(_batch_us(operation) for _ in range(_BATCHES))


def _batch_us(operation: Callable[[], None]) -> float:
    started_s = time.perf_counter()
    for _ in itertools.repeat(None, _OPERATIONS_PER_BATCH):
        operation()
    return (time.perf_counter() - started_s) * _US_PER_S / _OPERATIONS_PER_BATCH
