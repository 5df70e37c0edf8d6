"""Delivery: writes of the order ledger, and calls added by retries."""

from __future__ import annotations

import random
from collections.abc import Iterator

from _figures import Figure
from _orders_load import (
    OrderLoad,
    opaque_key,
    run_load,
    timed_key,
)

from _relay_cost import processor_s, share_of_retries

from cowslipstep.delivery import RetryBudget
from cowslipstep_standins._fleet import local_fleet
from cowslipstep_standins._plan import FleetShape

_TODAY_ORDERS_PER_S = 8
_FEW_ORDERS_PER_S = 30
_MANY_ORDERS_PER_S = 300
_TODAY_DAEMONS = 9
_LATER_DAEMONS = 340
_WRITES_PER_S = 200
_LARGEST_BYTES = 1048576
_EXTRA_CALLS_SHARE = 0.1
_REQUESTS = 10000
_DARK_SHARE = 1 / 3
_PERIOD_S = 0.25
_READ_AND_WRITE_S = 0.05
_CALLS = 300
_TOKENS = 60
_TOKENS_PER_S = 1500000
_CHUNKS_PER_S = _TOKENS_PER_S / _LATER_DAEMONS
_SHAPE = FleetShape(
    daemons=3,
    failure_domains=('port-louis', 'ebene', 'curepipe'),
    hosts_per_domain=4,
)


def figures() -> Iterator[Figure]:
    """Yield the ledger's writes a second and the share of extra calls."""
    yield from _ledger('today', _TODAY_ORDERS_PER_S, _TODAY_DAEMONS)
    yield from _ledger('1_percent', _FEW_ORDERS_PER_S, _LATER_DAEMONS)
    yield from _ledger('10_percent', _MANY_ORDERS_PER_S, _LATER_DAEMONS)
    yield Figure(
        'delivery.extra_calls_share',
        _extra_calls(budgeted=True),
        'ratio',
        bound=_EXTRA_CALLS_SHARE,
        baseline=_extra_calls(budgeted=False),
    )
    yield from _on_a_fleet()


def _on_a_fleet() -> Iterator[Figure]:
    with local_fleet(_SHAPE) as fleet:
        processor_s(fleet, _CALLS, 1)
        short_s = processor_s(fleet, _CALLS, 1)
        long_s = processor_s(fleet, _CALLS, _TOKENS)
        yield Figure(
            'delivery.processor_per_request',
            short_s / _CALLS,
            's',
        )
        yield Figure(
            'delivery.processor_per_chunk',
            (long_s - short_s) / _CALLS / (_TOKENS - 1),
            's',
            bound=1 / _CHUNKS_PER_S,
        )
        yield Figure(
            'delivery.retries_with_a_dark_domain',
            share_of_retries(fleet, _CALLS),
            'ratio',
            bound=_EXTRA_CALLS_SHARE,
        )


def _ledger(name: str, orders_per_s: float, daemons: int) -> Iterator[Figure]:
    opaque = run_load(OrderLoad(orders_per_s, daemons, opaque_key))
    owned = run_load(OrderLoad(orders_per_s, 1, timed_key))
    yield Figure(
        f'delivery.ledger_writes.{name}',
        owned.writes_per_s,
        'writes/s',
        bound=_WRITES_PER_S,
        baseline=opaque.writes_per_s,
    )
    yield Figure(
        f'delivery.ledger_p95_wait.{name}',
        owned.p95_wait_s,
        's',
        bound=_PERIOD_S + _READ_AND_WRITE_S,
        baseline=opaque.p95_wait_s,
    )
    yield Figure(
        f'delivery.ledger_largest_object.{name}',
        owned.platform.largest_bytes,
        'bytes',
        bound=_LARGEST_BYTES,
        baseline=opaque.platform.largest_bytes,
    )


def _extra_calls(*, budgeted: bool) -> float:
    """Share of retries while a third of the tries meets a dark domain."""
    rng = random.Random(1)
    budget = RetryBudget()
    retries = 0
    for _ in range(_REQUESTS):
        budget.record_request()
        while rng.random() < _DARK_SHARE and (not budgeted or budget.spend()):
            retries += 1
    return retries / _REQUESTS
