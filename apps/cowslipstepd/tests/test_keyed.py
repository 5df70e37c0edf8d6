"""Entries of keys in the order ledger are counted by what came of them."""

from __future__ import annotations

import contextlib
from types import SimpleNamespace
from typing import Any

import pytest

from cowslipstep.daemon._keyed import KeyedRuns
from cowslipstep.daemon._run_state import start_run
from cowslipstep.delivery import (
    AlreadyAnswered,
    ClaimEntered,
    EntryResult,
    KeyInUse,
    KeyReused,
    OrderResponse,
)
from cowslipstep.metrics import Counters
from cowslipstep.model import RequestError

_ANSWER = OrderResponse(200, 'application/json', b'{}')


@pytest.mark.parametrize(
    ('found', 'counted'),
    [
        (ClaimEntered(), ['entered']),
        (AlreadyAnswered(_ANSWER), ['replayed']),
        (KeyInUse(), ['in_use']),
        (KeyReused(), []),
    ],
)
def test_entries_are_counted(found: EntryResult, counted: list[str]) -> None:
    claims: Any = SimpleNamespace(
        enter=lambda order: found,
        held=lambda order, run: contextlib.nullcontext(),
    )
    order: Any = SimpleNamespace(workspace='firm')
    counters = Counters()
    runs = KeyedRuns(claims, counters)
    with contextlib.suppress(RequestError):
        list(runs.run(order, _no_pieces(), start_run(timeout_s=1)))
    assert _entries(counters) == counted


def _no_pieces() -> Any:
    return (piece for piece in range(0))


def _entries(counters: Counters) -> list[str]:
    return [
        sample.key.label('entry')
        for sample in counters.samples
        if sample.key.name == 'order_entries'
    ]
