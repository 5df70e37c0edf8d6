"""Tests of the counter of ledger lookups of idempotency keys."""

from __future__ import annotations

import contextlib
from types import SimpleNamespace
from typing import Any

import pytest

from cowslipstep.daemon._order_execution import OrderExecution
from cowslipstep.daemon._run_state import start_run
from cowslipstep.delivery import (
    AlreadyAnswered,
    ChangeOutcome,
    ClaimEntered,
    KeyInUse,
    KeyReused,
    OrderResponse,
)
from cowslipstep.metrics import Counters
from cowslipstep.model import RequestError

_RESPONSE = OrderResponse(200, 'application/json', b'{}')


@pytest.mark.parametrize(
    ('outcome', 'counted'),
    [
        (ClaimEntered(), ['entered']),
        (AlreadyAnswered(_RESPONSE), ['replayed']),
        (KeyInUse(), ['in_use']),
        (KeyReused(), []),
    ],
)
def test_lookups_are_counted_by_outcome(
    outcome: ChangeOutcome, counted: list[str]
) -> None:
    claims: Any = SimpleNamespace(
        enter=lambda order: outcome,
        withdrawn_unless_run=lambda order, run: contextlib.nullcontext(),
    )
    order: Any = SimpleNamespace(workspace='firm')
    counters = Counters()
    execution = OrderExecution(claims, counters)
    with contextlib.suppress(RequestError):
        list(execution.run(order, _no_pieces(), start_run(timeout_s=1)))
    assert _entries(counters) == counted


def _no_pieces() -> Any:
    return (piece for piece in range(0))


def _entries(counters: Counters) -> list[str]:
    return [
        sample.key.label('entry')
        for sample in counters.samples
        if sample.key.name == 'order_entries'
    ]
