"""Tests of changes to segments of the ledger of orders."""

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

FIRST = OrderClaim('digest', 'first', 'content a')
SECOND = OrderClaim('digest', 'second', 'content a')
RESPONSE = OrderResponse(200, 'application/json', b'{}')


def apply(segment, *changes, now_unix_s=0):
    return apply_changes(segment, changes, now_unix_s, retention_s=60)


def test_one_claim_holds_a_key():
    applied = apply(Segment(), ClaimOrder(FIRST), ClaimOrder(SECOND))
    assert applied.outcomes == (ClaimEntered(), KeyInUse())


def test_applying_a_claim_again_changes_nothing():
    once = apply(Segment(), ClaimOrder(FIRST))
    assert apply(once.segment, ClaimOrder(FIRST)) == once


def test_only_the_accepted_claim_gets_a_response():
    segment = apply(Segment(), ClaimOrder(FIRST)).segment
    not_holder = apply(segment, RecordResponse(SECOND, RESPONSE))
    assert not_holder.segment == segment
    recorded = apply(
        segment, RecordResponse(FIRST, RESPONSE), ClaimOrder(SECOND)
    )
    assert recorded.outcomes[1] == AlreadyAnswered(RESPONSE)


def test_a_withdrawn_key_may_be_claimed_again():
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


def test_a_key_is_refused_for_another_request():
    other = OrderClaim('digest', 'second', 'content b')
    applied = apply(Segment(), ClaimOrder(FIRST), ClaimOrder(other))
    assert applied.outcomes[1] == KeyReused()


def test_entries_expire_after_the_retention():
    segment = apply(Segment(), ClaimOrder(FIRST)).segment
    retained = apply(segment, ClaimOrder(SECOND), now_unix_s=59)
    assert retained.outcomes == (KeyInUse(),)
    expired = apply(segment, ClaimOrder(SECOND), now_unix_s=61)
    assert expired.outcomes == (ClaimEntered(),)


def test_a_segment_limits_entries_and_bodies():
    claims = [OrderClaim(str(index), 'a', 'f') for index in range(4001)]
    applied = apply(Segment(), *map(ClaimOrder, claims))
    assert applied.outcomes[-1] == SegmentFull()
    responses = [RecordResponse(claim, RESPONSE) for claim in claims]
    entries = apply(applied.segment, *responses).segment.entries.values()
    assert sum(entry.response.body is not None for entry in entries) == 256
