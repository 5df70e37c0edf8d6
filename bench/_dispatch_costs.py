"""What an ask and a grant cost, and how that grows with the queue."""

from __future__ import annotations

import itertools
import time
import tracemalloc
from collections.abc import Callable, Iterator

from _dispatch_load import open_dispatcher
from _figures import Figure

_SIZES = (100, 1000, 10000)
_ROUNDS = 1000
_BATCHES = 5
_US_PER_S = 1000000
_LOG_GROWTH = 2


def cost_figures() -> Iterator[Figure]:
    """Yield microseconds, their growth and bytes for each queued ask."""
    # The measured ask makes the queue as long as the size says.
    asks = {
        size: _time_us(open_dispatcher(size - 1).ask_and_withdraw)
        for size in _SIZES
    }
    grants = {
        size: _time_us(open_dispatcher(size).end_and_ask) for size in _SIZES
    }
    for size in _SIZES:
        yield Figure(f'dispatch.ask_us.{size}_queued', asks[size], 'us')
        yield Figure(f'dispatch.grant_us.{size}_queued', grants[size], 'us')
    yield _growth('ask', asks)
    yield _growth('grant', grants)
    yield Figure('dispatch.bytes_per_queued_ask', _bytes_per_ask(), 'bytes')


def _growth(name: str, costs: dict[int, float]) -> Figure:
    ratio = costs[_SIZES[-1]] / costs[_SIZES[0]]
    return Figure(
        f'dispatch.{name}_growth_100x',
        ratio,
        'ratio',
        bound=_LOG_GROWTH,
    )


def _bytes_per_ask() -> float:
    tracemalloc.start()
    load = open_dispatcher(_SIZES[-1])
    used = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return used / load.queued


def _time_us(operation: Callable[[], None]) -> float:
    """Return the least mean of several batches, as other work disturbs it."""
    return min(_batch_us(operation) for _ in range(_BATCHES))


def _batch_us(operation: Callable[[], None]) -> float:
    started_s = time.perf_counter()
    for _ in itertools.repeat(None, _ROUNDS):
        operation()
    return (time.perf_counter() - started_s) * _US_PER_S / _ROUNDS
