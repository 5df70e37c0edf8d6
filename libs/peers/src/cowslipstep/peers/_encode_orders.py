"""Encoding of messages on the order ledger."""

from __future__ import annotations

from typing import Any

from cowslipstep.model import (
    OrderLedgerCall,
    OrderLedgerReply,
    OrderMessage,
    StoredResponse,
)


def write_order_message(frame: Any, message: OrderMessage) -> None:
    """Write the field of the frame that carries the message."""
    match message:
        case OrderLedgerCall():
            _write_call(frame.init('ledgerCall'), message)
        case OrderLedgerReply(outcome, answer):
            reply = frame.init('ledgerReply')
            reply.outcome = outcome.value
            _write_answer(reply, answer)


def _write_call(builder: Any, call: OrderLedgerCall) -> None:
    builder.segment = call.segment
    builder.step = call.operation.value
    builder.digest = call.digest
    builder.attempt = call.attempt
    builder.fingerprint = call.fingerprint
    _write_answer(builder, call.response)


def _write_answer(builder: Any, answer: StoredResponse | None) -> None:
    if answer is None:
        return
    written = builder.init('answer')
    written.status = answer.status
    written.contentType = answer.content_type
    if answer.body is not None:
        written.hasBody = True
        written.body = answer.body
