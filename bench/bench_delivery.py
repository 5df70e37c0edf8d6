"""Delivery: writes of the order ledger, and extra calls due to retries."""

from __future__ import annotations

import random
from collections.abc import Iterator

from _figures import Figure
from _order_ledger_load import (
    OrderLoad,
    measure_order_load,
    opaque_key,
    timestamped_key,
)

from _relay_cost import relay_cpu_s, retries_per_request

from cowslipstep.delivery import RetryBudget
from cowslipstep_standins._fleet import local_fleet
from cowslipstep_standins._plan import FleetShape

_CURRENT_ORDERS_PER_S = 8
_FEW_ORDERS_PER_S = 30
_MANY_ORDERS_PER_S = 300
_CURRENT_DAEMONS = 9
_PLANNED_DAEMONS = 340
_MAX_WRITES_PER_S = 200
_MAX_OBJECT_BYTES = 1048576
_MAX_EXTRA_CALLS_SHARE = 0.1
_REQUESTS = 10000
_FAILED_ATTEMPT_SHARE = 1 / 3
_LEDGER_WRITE_PERIOD_S = 0.25
_READ_AND_WRITE_S = 0.05
_CALLS = 300
_TOKENS_PER_STREAM = 60
_PEAK_TOKENS_PER_S = 1500000
_CHUNKS_PER_S = _PEAK_TOKENS_PER_S / _PLANNED_DAEMONS
_SHAPE = FleetShape(
    daemons=3,
    failure_domains=('port-louis', 'ebene', 'curepipe'),
    hosts_per_domain=4,
)


def figures() -> Iterator[Figure]:
    """Yield figures of the order ledger, of retries and of relaying."""
    yield from _ledger_figures('today', _CURRENT_ORDERS_PER_S, _CURRENT_DAEMONS)
    yield from _ledger_figures('1_percent', _FEW_ORDERS_PER_S, _PLANNED_DAEMONS)
    yield from _ledger_figures(
        '10_percent', _MANY_ORDERS_PER_S, _PLANNED_DAEMONS
    )
    yield Figure(
        'delivery.extra_calls_share',
        _retries_per_request(budgeted=True),
        'ratio',
        bound=_MAX_EXTRA_CALLS_SHARE,
        baseline=_retries_per_request(budgeted=False),
    )
    yield from _relay_figures()


def _relay_figures() -> Iterator[Figure]:
    with local_fleet(_SHAPE) as fleet:
        relay_cpu_s(fleet, _CALLS, 1)
        short_s = relay_cpu_s(fleet, _CALLS, 1)
        long_s = relay_cpu_s(fleet, _CALLS, _TOKENS_PER_STREAM)
        yield Figure(
            'delivery.processor_per_request',
            short_s / _CALLS,
            's',
        )
        yield Figure(
            'delivery.processor_per_chunk',
            (long_s - short_s) / _CALLS / (_TOKENS_PER_STREAM - 1),
            's',
            bound=1 / _CHUNKS_PER_S,
        )
        yield Figure(
            'delivery.retries_with_a_dark_domain',
            retries_per_request(fleet, _CALLS),
            'ratio',
            bound=_MAX_EXTRA_CALLS_SHARE,
        )


def _ledger_figures(
    name: str, orders_per_s: float, daemons: int
) -> Iterator[Figure]:
    opaque_keys = measure_order_load(
        OrderLoad(orders_per_s, daemons, opaque_key)
    )
    timestamped_keys = measure_order_load(
        OrderLoad(orders_per_s, 1, timestamped_key)
    )
    yield Figure(
        f'delivery.ledger_writes.{name}',
        timestamped_keys.writes_per_s,
        'writes/s',
        bound=_MAX_WRITES_PER_S,
        baseline=opaque_keys.writes_per_s,
    )
    yield Figure(
        f'delivery.ledger_p95_wait.{name}',
        timestamped_keys.p95_wait_s,
        's',
        bound=_LEDGER_WRITE_PERIOD_S + _READ_AND_WRITE_S,
        baseline=opaque_keys.p95_wait_s,
    )
    yield Figure(
        f'delivery.ledger_largest_object.{name}',
        timestamped_keys.platform.largest_bytes,
        'bytes',
        bound=_MAX_OBJECT_BYTES,
        baseline=opaque_keys.platform.largest_bytes,
    )


def _retries_per_request(*, budgeted: bool) -> float:
    """Return the retries for each request while a third of attempts fail."""
    rng = random.Random(1)
    budget = RetryBudget()
    retries = 0
    for _ in range(_REQUESTS):
        budget.record_request()
        while rng.random() < _FAILED_ATTEMPT_SHARE and (
            not budgeted or budget.spend()
        ):
            retries += 1
    return retries / _REQUESTS
