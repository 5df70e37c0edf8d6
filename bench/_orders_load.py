"""Orders written to the ledger at an even rate."""

from __future__ import annotations

import random
import statistics
import time
import uuid
from collections.abc import Callable
from http import HTTPStatus
from typing import Any

import eventlet
from _memory_platform import MemoryPlatform
from attrs import define, field, frozen

from cowslipstep.daemon._keyed_orders import IdempotencyKey, make_order
from cowslipstep.daemon._order_claims import OrderClaims
from cowslipstep.daemon._order_ledger import OrderLedger
from cowslipstep.daemon._segment_store import SegmentStore
from cowslipstep.delivery import OrderResponse

_RETENTION_S = 86400
_ANSWER = OrderResponse(HTTPStatus.OK, 'application/json', b'{"number": 1}')
_MS_PER_S = 1000
_MARKS = uuid.UUID('00000000-0000-7000-8000-000000000000').int
_TIME_SHIFT_BITS = 80
_RANDOM_BITS = 60
_TWENTIETHS = 20
_KEY_BYTES = 8

NewKey = Callable[[random.Random], str]


@frozen
class OrderLoad:
    """Orders a second and the number of daemons that write the ledger."""

    orders_per_s: float
    writers: int
    new_key: NewKey
    duration_s: float = 4


@define
class OrderFigures:
    """What a load has cost."""

    load: OrderLoad
    platform: MemoryPlatform = field(factory=MemoryPlatform)
    waits_s: list[float] = field(factory=list)

    @property
    def writes_per_s(self) -> float:
        """Writes a second."""
        return self.platform.writes / self.load.duration_s

    @property
    def p95_wait_s(self) -> float:
        """95th percentile of the time to enter an order."""
        return statistics.quantiles(self.waits_s, n=_TWENTIETHS)[-1]


def timed_key(rng: random.Random) -> str:
    """Return a version 7 UUID."""
    issued = int(time.time() * _MS_PER_S) << _TIME_SHIFT_BITS
    marked = issued | _MARKS
    return str(uuid.UUID(int=marked | rng.getrandbits(_RANDOM_BITS)))


def opaque_key(rng: random.Random) -> str:
    """Return a random key without a time."""
    return rng.randbytes(_KEY_BYTES).hex()


def run_load(load: OrderLoad) -> OrderFigures:
    """Enter and answer orders at an even rate."""
    figures = OrderFigures(load)
    platform: Any = figures.platform
    store = SegmentStore(platform)
    writers = [OrderClaims(OrderLedger(store)) for _ in range(load.writers)]
    _send_orders(figures, writers)
    return figures


def _send_orders(figures: OrderFigures, writers: list[OrderClaims]) -> None:
    load = figures.load
    rng = random.Random(1)
    pool = eventlet.GreenPool()
    end_s = time.monotonic() + load.duration_s
    while time.monotonic() < end_s:
        key = load.new_key(rng)
        pool.spawn(_order, rng.choice(writers), key, figures)
        eventlet.sleep(rng.expovariate(load.orders_per_s))
    pool.waitall()


def _order(claims: OrderClaims, key: str, figures: OrderFigures) -> None:
    use = IdempotencyKey('joiners', key, first_send=True)
    order = make_order(use, (b'two mallets',), _RETENTION_S)
    began_s = time.monotonic()
    claims.enter(order)
    figures.waits_s.append(time.monotonic() - began_s)
    claims.record_response(order, _ANSWER)
