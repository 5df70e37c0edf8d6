"""Tests of changes to ledger segments."""

from __future__ import annotations

from cowslipstep.delivery import (
    AlreadyAnswered,
    ClaimEntered,
    ClaimOrder,
    KeyInUse,
    KeyReused,
    OrderClaim,
    OrderResponse,
    RecordResponse,
    Segment,
    SegmentFull,
    WithdrawClaim,
    apply_changes,
)

FIRST = OrderClaim('digest', 'first', 'asks a')
SECOND = OrderClaim('digest', 'second', 'asks a')
ANSWER = OrderResponse(200, 'application/json', b'{}')


def apply(segment, *changes, now_unix_s=0):
    return apply_changes(segment, changes, now_unix_s, retention_s=60)


def test_one_attempt_holds_a_key():
    applied = apply(Segment(), ClaimOrder(FIRST), ClaimOrder(SECOND))
    assert applied.outcomes == (ClaimEntered(), KeyInUse())


def test_applying_again_changes_nothing():
    once = apply(Segment(), ClaimOrder(FIRST))
    assert apply(once.segment, ClaimOrder(FIRST)) == once


def test_only_the_attempt_that_ran_answers():
    segment = apply(Segment(), ClaimOrder(FIRST)).segment
    stranger = apply(segment, RecordResponse(SECOND, ANSWER))
    assert stranger.segment == segment
    answered = apply(segment, RecordResponse(FIRST, ANSWER), ClaimOrder(SECOND))
    assert answered.outcomes[1] == AlreadyAnswered(ANSWER)


def test_a_withdrawn_key_may_be_entered_again():
    applied = apply(
        Segment(),
        ClaimOrder(FIRST),
        WithdrawClaim(SECOND),
        ClaimOrder(SECOND),
        WithdrawClaim(FIRST),
        ClaimOrder(SECOND),
    )
    assert applied.outcomes[2] == KeyInUse()
    assert applied.outcomes[4] == ClaimEntered()


def test_a_key_belongs_to_one_request():
    other = OrderClaim('digest', 'second', 'asks b')
    applied = apply(Segment(), ClaimOrder(FIRST), ClaimOrder(other))
    assert applied.outcomes[1] == KeyReused()


def test_entries_expire_after_the_retention():
    segment = apply(Segment(), ClaimOrder(FIRST)).segment
    kept = apply(segment, ClaimOrder(SECOND), now_unix_s=59)
    assert kept.outcomes == (KeyInUse(),)
    expired = apply(segment, ClaimOrder(SECOND), now_unix_s=61)
    assert expired.outcomes == (ClaimEntered(),)


def test_a_segment_stays_below_its_limits():
    claims = [OrderClaim(str(index), 'a', 'f') for index in range(4001)]
    applied = apply(Segment(), *map(ClaimOrder, claims))
    assert applied.outcomes[-1] == SegmentFull()
    answers = [RecordResponse(claim, ANSWER) for claim in claims]
    entries = apply(applied.segment, *answers).segment.entries.values()
    assert sum(entry.answer.body is not None for entry in entries) == 256
