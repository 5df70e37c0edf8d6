"""Decoding of messages on the order ledger."""

from __future__ import annotations

from typing import Any

from cowslipstep.model import (
    OrderLedgerCall,
    OrderLedgerOperation,
    OrderLedgerOutcome,
    OrderLedgerReply,
    OrderMessage,
    StoredResponse,
)


def decode_order_message(name: str, body: Any) -> OrderMessage | None:
    """Read the field ``name``; return ``None`` if it is no such message."""
    match name:
        case 'ledgerCall':
            return _call(body)
        case 'ledgerReply':
            return OrderLedgerReply(
                OrderLedgerOutcome(body.outcome), _answer(body)
            )
    return None


def _call(raw: Any) -> OrderLedgerCall:
    return OrderLedgerCall(
        raw.segment,
        OrderLedgerOperation(raw.step),
        raw.digest,
        raw.attempt,
        raw.fingerprint,
        _answer(raw),
    )


def _answer(raw: Any) -> StoredResponse | None:
    if not raw._has('answer'):
        return None
    answer = raw.answer
    return StoredResponse(
        answer.status,
        answer.contentType,
        bytes(answer.body) if answer.hasBody else None,
    )
