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
    """Write the union field of the frame for this type of message."""
    match message:
        case OrderLedgerCall():
            _write_ledger_call(frame.init('ledgerCall'), message)
        case OrderLedgerReply(outcome, response):
            reply = frame.init('ledgerReply')
            reply.outcome = outcome.value
            _write_response(reply, response)


def _write_ledger_call(builder: Any, call: OrderLedgerCall) -> None:
    builder.segment = call.segment
    builder.step = call.operation.value
    builder.digest = call.digest
    builder.attempt = call.attempt
    builder.fingerprint = call.fingerprint
    _write_response(builder, call.response)


def _write_response(builder: Any, response: StoredResponse | None) -> None:
    if response is None:
        return
    written = builder.init('answer')
    written.status = response.status
    written.contentType = response.content_type
    if response.body is not None:
        written.hasBody = True
        written.body = response.body
