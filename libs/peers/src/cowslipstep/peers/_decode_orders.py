"""Decoding of messages on the order ledger."""

from __future__ import annotations

from typing import Any

from cowslipstep.model import (
    LedgerAnswer,
    LedgerCall,
    LedgerOutcome,
    LedgerReply,
    LedgerStep,
    OrderMessage,
)


def decode_order_message(name: str, body: Any) -> OrderMessage | None:
    """Read the field ``name``; return ``None`` if it is no such message."""
    match name:
        case 'ledgerCall':
            return _call(body)
        case 'ledgerReply':
            return LedgerReply(LedgerOutcome(body.outcome), _answer(body))
    return None


def _call(raw: Any) -> LedgerCall:
    return LedgerCall(
        raw.segment,
        LedgerStep(raw.step),
        raw.digest,
        raw.attempt,
        raw.fingerprint,
        _answer(raw),
    )


def _answer(raw: Any) -> LedgerAnswer | None:
    if not raw._has('answer'):
        return None
    answer = raw.answer
    return LedgerAnswer(
        answer.status,
        answer.contentType,
        bytes(answer.body) if answer.hasBody else None,
    )
