"""Orders that are written to the ledger as a Poisson process."""

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
_RESPONSE = OrderResponse(HTTPStatus.OK, 'application/json', b'{"number": 1}')
_MS_PER_S = 1000
_UUID7_MARKER_BITS = uuid.UUID('00000000-0000-7000-8000-000000000000').int
_TIMESTAMP_SHIFT_BITS = 80
_RANDOM_BITS = 60
_QUANTILE_COUNT = 20
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
class OrderLoadFigures:
    """Writes to the platform and waits of a load."""

    load: OrderLoad
    platform: MemoryPlatform = field(factory=MemoryPlatform)
    waits_s: list[float] = field(factory=list)

    @property
    def writes_per_s(self) -> float:
        """Platform writes a second."""
        return self.platform.writes / self.load.duration_s

    @property
    def p95_wait_s(self) -> float:
        """95th percentile of the time to claim an order."""
        return statistics.quantiles(self.waits_s, n=_QUANTILE_COUNT)[-1]


def timestamped_key(rng: random.Random) -> str:
    """Return a key that holds the time, a version 7 UUID."""
    timestamp_bits = int(time.time() * _MS_PER_S) << _TIMESTAMP_SHIFT_BITS
    unfilled = timestamp_bits | _UUID7_MARKER_BITS
    return str(uuid.UUID(int=unfilled | rng.getrandbits(_RANDOM_BITS)))


def opaque_key(rng: random.Random) -> str:
    """Return a random key that holds no time."""
    return rng.randbytes(_KEY_BYTES).hex()


def measure_order_load(load: OrderLoad) -> OrderLoadFigures:
    """Claim orders and record their responses at a mean rate."""
    figures = OrderLoadFigures(load)
    platform: Any = figures.platform
    store = SegmentStore(platform)
    claims_of_writers = [
        OrderClaims(OrderLedger(store)) for _ in range(load.writers)
    ]
    _send_orders(figures, claims_of_writers)
    return figures


def _send_orders(
    figures: OrderLoadFigures, claims_of_writers: list[OrderClaims]
) -> None:
    load = figures.load
    rng = random.Random(1)
    pool = eventlet.GreenPool()
    end_s = time.monotonic() + load.duration_s
    while time.monotonic() < end_s:
        key = load.new_key(rng)
        pool.spawn(
            _claim_and_respond, rng.choice(claims_of_writers), key, figures
        )
        eventlet.sleep(rng.expovariate(load.orders_per_s))
    pool.waitall()


def _claim_and_respond(
    claims: OrderClaims, key: str, figures: OrderLoadFigures
) -> None:
    idempotency_key = IdempotencyKey('joiners', key, first_send=True)
    order = make_order(idempotency_key, (b'two mallets',), _RETENTION_S)
    began_s = time.monotonic()
    claims.enter(order)
    figures.waits_s.append(time.monotonic() - began_s)
    claims.record_response(order, _RESPONSE)
