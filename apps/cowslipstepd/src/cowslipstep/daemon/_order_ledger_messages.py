"""Messages that forward changes of the ledger of orders to other daemons."""

from __future__ import annotations

from collections.abc import Mapping
from types import MappingProxyType

from cowslipstep.daemon._segment_batches import OrderLedgerUnavailable
from cowslipstep.delivery import (
    AlreadyAnswered,
    ChangeOutcome,
    ChangeRecorded,
    ClaimEntered,
    ClaimOrder,
    KeyInUse,
    KeyReused,
    OrderChange,
    OrderClaim,
    OrderResponse,
    RecordResponse,
    SegmentFull,
    WithdrawClaim,
)
from cowslipstep.model import (
    OrderLedgerCall,
    OrderLedgerOperation,
    OrderLedgerOutcome,
    OrderLedgerReply,
    StoredResponse,
)

_OUTCOMES_WITHOUT_RESPONSE: Mapping[OrderLedgerOutcome, ChangeOutcome] = (
    MappingProxyType(
        {
            OrderLedgerOutcome.entered: ClaimEntered(),
            OrderLedgerOutcome.in_use: KeyInUse(),
            OrderLedgerOutcome.other_request: KeyReused(),
            OrderLedgerOutcome.full: SegmentFull(),
            OrderLedgerOutcome.noted: ChangeRecorded(),
        },
    )
)
_EMPTY_RESPONSE = OrderResponse(0, '', None)


def call_with_change(segment: str, change: OrderChange) -> OrderLedgerCall:
    """Return the message that requests a change from another daemon."""
    match change:
        case ClaimOrder():
            operation = OrderLedgerOperation.enter
        case RecordResponse():
            operation = OrderLedgerOperation.answer
        case WithdrawClaim():
            operation = OrderLedgerOperation.withdraw
    claim = change.claim
    return OrderLedgerCall(
        segment,
        operation,
        claim.digest,
        claim.claim_id,
        claim.fingerprint,
        _encode_response(getattr(change, 'response', None)),
    )


def change_in_call(call: OrderLedgerCall) -> OrderChange:
    """Return the change that another daemon requests."""
    claim = OrderClaim(call.digest, call.attempt, call.fingerprint)
    match call.operation:
        case OrderLedgerOperation.enter:
            return ClaimOrder(claim)
        case OrderLedgerOperation.answer:
            return RecordResponse(claim, _decode_response(call.response))
        case OrderLedgerOperation.withdraw:
            return WithdrawClaim(claim)


def reply_with_outcome(outcome: ChangeOutcome) -> OrderLedgerReply:
    """Return the message that carries the outcome of a change."""
    match outcome:
        case AlreadyAnswered(response):
            return OrderLedgerReply(
                OrderLedgerOutcome.answered, _encode_response(response)
            )
    for name, plain in _OUTCOMES_WITHOUT_RESPONSE.items():
        if plain == outcome:
            return OrderLedgerReply(name)
    return OrderLedgerReply(OrderLedgerOutcome.unavailable)


def reply_with_failure(failure: OrderLedgerUnavailable) -> OrderLedgerReply:
    """Return the message for a change that the platform did not confirm."""
    if failure.may_be_applied:
        return OrderLedgerReply(OrderLedgerOutcome.unknown)
    return OrderLedgerReply(OrderLedgerOutcome.unavailable)


def outcome_in_reply(reply: OrderLedgerReply) -> ChangeOutcome:
    """Return the outcome of a change from the reply of another daemon.

    Raises
    ------
    OrderLedgerUnavailable
        If the platform did not confirm the change to that daemon.
    """
    match reply.outcome:
        case OrderLedgerOutcome.answered:
            return AlreadyAnswered(_decode_response(reply.response))
        case OrderLedgerOutcome.unavailable:
            raise OrderLedgerUnavailable(
                'the called daemon could not write the ledger segment',
                may_be_applied=False,
            )
        case OrderLedgerOutcome.unknown:
            raise OrderLedgerUnavailable(
                'the called daemon may have written the ledger segment',
                may_be_applied=True,
            )
        case outcome:
            return _OUTCOMES_WITHOUT_RESPONSE[outcome]


def _encode_response(response: OrderResponse | None) -> StoredResponse | None:
    if response is None:
        return None
    return StoredResponse(response.status, response.content_type, response.body)


def _decode_response(response: StoredResponse | None) -> OrderResponse:
    if response is None:
        return _EMPTY_RESPONSE
    return OrderResponse(response.status, response.content_type, response.body)
