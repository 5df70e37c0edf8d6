"""Tests of changes to ledger segments."""

from __future__ import annotations

from cowslipstep.delivery import (
    Answered,
    AnswerOrder,
    Entered,
    EnterOrder,
    InUse,
    OrderAnswer,
    OrderClaim,
    OtherRequest,
    Segment,
    SegmentFull,
    WithdrawOrder,
    apply_changes,
)

FIRST = OrderClaim('digest', 'first', 'asks a')
SECOND = OrderClaim('digest', 'second', 'asks a')
ANSWER = OrderAnswer(200, 'application/json', b'{}')


def apply(segment, *changes, now_unix_s=0):
    return apply_changes(segment, changes, now_unix_s, retention_s=60)


def test_one_attempt_holds_a_key():
    applied = apply(Segment(), EnterOrder(FIRST), EnterOrder(SECOND))
    assert applied.outcomes == (Entered(), InUse())


def test_applying_again_changes_nothing():
    once = apply(Segment(), EnterOrder(FIRST))
    assert apply(once.segment, EnterOrder(FIRST)) == once


def test_only_the_attempt_that_ran_answers():
    segment = apply(Segment(), EnterOrder(FIRST)).segment
    stranger = apply(segment, AnswerOrder(SECOND, ANSWER))
    assert stranger.segment == segment
    answered = apply(segment, AnswerOrder(FIRST, ANSWER), EnterOrder(SECOND))
    assert answered.outcomes[1] == Answered(ANSWER)


def test_a_withdrawn_key_may_be_entered_again():
    applied = apply(
        Segment(),
        EnterOrder(FIRST),
        WithdrawOrder(SECOND),
        EnterOrder(SECOND),
        WithdrawOrder(FIRST),
        EnterOrder(SECOND),
    )
    assert applied.outcomes[2] == InUse()
    assert applied.outcomes[4] == Entered()


def test_a_key_belongs_to_one_request():
    other = OrderClaim('digest', 'second', 'asks b')
    applied = apply(Segment(), EnterOrder(FIRST), EnterOrder(other))
    assert applied.outcomes[1] == OtherRequest()


def test_entries_expire_after_the_retention():
    segment = apply(Segment(), EnterOrder(FIRST)).segment
    kept = apply(segment, EnterOrder(SECOND), now_unix_s=59)
    assert kept.outcomes == (InUse(),)
    expired = apply(segment, EnterOrder(SECOND), now_unix_s=61)
    assert expired.outcomes == (Entered(),)


def test_a_segment_stays_below_its_limits():
    claims = [OrderClaim(str(index), 'a', 'f') for index in range(4001)]
    applied = apply(Segment(), *map(EnterOrder, claims))
    assert applied.outcomes[-1] == SegmentFull()
    answers = [AnswerOrder(claim, ANSWER) for claim in claims]
    entries = apply(applied.segment, *answers).segment.entries.values()
    assert sum(entry.answer.body is not None for entry in entries) == 256
