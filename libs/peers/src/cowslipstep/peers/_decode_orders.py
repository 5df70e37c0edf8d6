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
    """Decode the union field ``name``; return ``None`` for other messages."""
    match name:
        case 'ledgerCall':
            return _ledger_call(body)
        case 'ledgerReply':
            return OrderLedgerReply(
                OrderLedgerOutcome(body.outcome), _stored_response(body)
            )
    return None


def _ledger_call(raw: Any) -> OrderLedgerCall:
    return OrderLedgerCall(
        raw.segment,
        OrderLedgerOperation(raw.step),
        raw.digest,
        raw.attempt,
        raw.fingerprint,
        _stored_response(raw),
    )


def _stored_response(raw: Any) -> StoredResponse | None:
    if not raw._has('answer'):
        return None
    response = raw.answer
    return StoredResponse(
        response.status,
        response.contentType,
        bytes(response.body) if response.hasBody else None,
    )
