"""Changes of the order ledger as messages between daemons."""

from __future__ import annotations

from collections.abc import Mapping
from types import MappingProxyType

from cowslipstep.daemon._segment_batches import LedgerUnavailable
from cowslipstep.delivery import (
    Answered,
    AnswerOrder,
    Entered,
    EnterOrder,
    EntryResult,
    InUse,
    Noted,
    OrderAnswer,
    OrderChange,
    OrderClaim,
    OtherRequest,
    SegmentFull,
    WithdrawOrder,
)
from cowslipstep.model import (
    LedgerAnswer,
    LedgerCall,
    LedgerOutcome,
    LedgerReply,
    LedgerStep,
)

_PLAIN_RESULTS: Mapping[LedgerOutcome, EntryResult] = MappingProxyType(
    {
        LedgerOutcome.entered: Entered(),
        LedgerOutcome.in_use: InUse(),
        LedgerOutcome.other_request: OtherRequest(),
        LedgerOutcome.full: SegmentFull(),
        LedgerOutcome.noted: Noted(),
    },
)
_NO_ANSWER = OrderAnswer(0, '', None)


def call_of(segment: str, change: OrderChange) -> LedgerCall:
    """Return the message that asks for a change."""
    match change:
        case EnterOrder():
            step = LedgerStep.enter
        case AnswerOrder():
            step = LedgerStep.answer
        case WithdrawOrder():
            step = LedgerStep.withdraw
    claim = change.claim
    return LedgerCall(
        segment,
        step,
        claim.digest,
        claim.attempt,
        claim.fingerprint,
        _sent_answer(getattr(change, 'answer', None)),
    )


def change_of(call: LedgerCall) -> OrderChange:
    """Return the change that a message asks for."""
    claim = OrderClaim(call.digest, call.attempt, call.fingerprint)
    match call.step:
        case LedgerStep.enter:
            return EnterOrder(claim)
        case LedgerStep.answer:
            return AnswerOrder(claim, _received_answer(call.answer))
        case LedgerStep.withdraw:
            return WithdrawOrder(claim)


def reply_of(outcome: EntryResult) -> LedgerReply:
    """Return the message that tells a result."""
    match outcome:
        case Answered(answer):
            return LedgerReply(LedgerOutcome.answered, _sent_answer(answer))
    for name, plain in _PLAIN_RESULTS.items():
        if plain == outcome:
            return LedgerReply(name)
    return LedgerReply(LedgerOutcome.unavailable)


def failure_of(failure: LedgerUnavailable) -> LedgerReply:
    """Return the message that tells that a change was not confirmed."""
    if failure.unknown:
        return LedgerReply(LedgerOutcome.unknown)
    return LedgerReply(LedgerOutcome.unavailable)


def result_of(reply: LedgerReply) -> EntryResult:
    """Return the result that a message tells.

    Raises
    ------
    LedgerUnavailable
        If the platform did not confirm the change.
    """
    match reply.outcome:
        case LedgerOutcome.answered:
            return Answered(_received_answer(reply.answer))
        case LedgerOutcome.unavailable:
            raise LedgerUnavailable('the owner could not write', unknown=False)
        case LedgerOutcome.unknown:
            raise LedgerUnavailable('the owner may have written', unknown=True)
        case outcome:
            return _PLAIN_RESULTS[outcome]


def _sent_answer(answer: OrderAnswer | None) -> LedgerAnswer | None:
    if answer is None:
        return None
    return LedgerAnswer(answer.status, answer.content_type, answer.body)


def _received_answer(answer: LedgerAnswer | None) -> OrderAnswer:
    if answer is None:
        return _NO_ANSWER
    return OrderAnswer(answer.status, answer.content_type, answer.body)
