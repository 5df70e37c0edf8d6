"""Changes of the order ledger as messages between daemons."""

from __future__ import annotations

from collections.abc import Mapping
from types import MappingProxyType

from cowslipstep.daemon._segment_batches import LedgerUnavailable
from cowslipstep.delivery import (
    AlreadyAnswered,
    ChangeRecorded,
    ClaimEntered,
    ClaimOrder,
    EntryResult,
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

_PLAIN_RESULTS: Mapping[OrderLedgerOutcome, EntryResult] = MappingProxyType(
    {
        OrderLedgerOutcome.entered: ClaimEntered(),
        OrderLedgerOutcome.in_use: KeyInUse(),
        OrderLedgerOutcome.other_request: KeyReused(),
        OrderLedgerOutcome.full: SegmentFull(),
        OrderLedgerOutcome.noted: ChangeRecorded(),
    },
)
_NO_ANSWER = OrderResponse(0, '', None)


def call_of(segment: str, change: OrderChange) -> OrderLedgerCall:
    """Return the message that asks for a change."""
    match change:
        case ClaimOrder():
            step = OrderLedgerOperation.enter
        case RecordResponse():
            step = OrderLedgerOperation.answer
        case WithdrawClaim():
            step = OrderLedgerOperation.withdraw
    claim = change.claim
    return OrderLedgerCall(
        segment,
        step,
        claim.digest,
        claim.attempt,
        claim.fingerprint,
        _sent_answer(getattr(change, 'answer', None)),
    )


def change_of(call: OrderLedgerCall) -> OrderChange:
    """Return the change that a message asks for."""
    claim = OrderClaim(call.digest, call.attempt, call.fingerprint)
    match call.step:
        case OrderLedgerOperation.enter:
            return ClaimOrder(claim)
        case OrderLedgerOperation.answer:
            return RecordResponse(claim, _received_answer(call.answer))
        case OrderLedgerOperation.withdraw:
            return WithdrawClaim(claim)


def reply_of(outcome: EntryResult) -> OrderLedgerReply:
    """Return the message that tells a result."""
    match outcome:
        case AlreadyAnswered(answer):
            return OrderLedgerReply(
                OrderLedgerOutcome.answered, _sent_answer(answer)
            )
    for name, plain in _PLAIN_RESULTS.items():
        if plain == outcome:
            return OrderLedgerReply(name)
    return OrderLedgerReply(OrderLedgerOutcome.unavailable)


def failure_of(failure: LedgerUnavailable) -> OrderLedgerReply:
    """Return the message that tells that a change was not confirmed."""
    if failure.unknown:
        return OrderLedgerReply(OrderLedgerOutcome.unknown)
    return OrderLedgerReply(OrderLedgerOutcome.unavailable)


def result_of(reply: OrderLedgerReply) -> EntryResult:
    """Return the result that a message tells.

    Raises
    ------
    LedgerUnavailable
        If the platform did not confirm the change.
    """
    match reply.outcome:
        case OrderLedgerOutcome.answered:
            return AlreadyAnswered(_received_answer(reply.answer))
        case OrderLedgerOutcome.unavailable:
            raise LedgerUnavailable('the owner could not write', unknown=False)
        case OrderLedgerOutcome.unknown:
            raise LedgerUnavailable('the owner may have written', unknown=True)
        case outcome:
            return _PLAIN_RESULTS[outcome]


def _sent_answer(answer: OrderResponse | None) -> StoredResponse | None:
    if answer is None:
        return None
    return StoredResponse(answer.status, answer.content_type, answer.body)


def _received_answer(answer: StoredResponse | None) -> OrderResponse:
    if answer is None:
        return _NO_ANSWER
    return OrderResponse(answer.status, answer.content_type, answer.body)
