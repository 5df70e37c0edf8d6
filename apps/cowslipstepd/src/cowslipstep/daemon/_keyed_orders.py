"""Orders, made from requests with an idempotency key, and their refusals."""

from __future__ import annotations

import time
import uuid

from attrs import frozen

from cowslipstep.delivery import (
    ChangeOutcome,
    EntryLocation,
    ExpiredKey,
    FutureKey,
    KeyReused,
    OrderClaim,
    SegmentFull,
    digest_of,
    locate_key,
    verdict_before_lookup,
)
from cowslipstep.model import MayHaveRun, NotRun, Reason, RequestError

_BAD_REQUEST = 400
_CONFLICT = 409
_UNAVAILABLE = 503


@frozen
class IdempotencyKey:
    """Idempotency key of a request.

    ``first_send`` is true if the caller states that it sends the request for
    the first time.
    """

    workspace: str
    key: str
    first_send: bool


@frozen
class KeyedOrder:
    """An order with its claim and the location of its ledger entry."""

    workspace: str
    claim: OrderClaim
    location: EntryLocation
    retention_s: float
    first_send: bool


def make_order(
    key: IdempotencyKey,
    request_parts: tuple[bytes, ...],
    retention_s: float,
) -> KeyedOrder:
    """Return the order of a request, with a new claim.

    Parameters
    ----------
    key
        Idempotency key of the request.
    request_parts
        Path, body and whatever else distinguishes the request from others;
        a key may not be used for requests that differ in them.
    retention_s
        Age up to which the ledger keeps entries, seconds.

    Raises
    ------
    RequestError
        If the key's issue time is too old or lies in the future.
    """
    location = locate_key(key.workspace, key.key, time.time(), retention_s)
    match location:
        case EntryLocation(digest=digest):
            claim = OrderClaim(
                digest, uuid.uuid4().hex, digest_of(*request_parts)
            )
            return KeyedOrder(
                key.workspace,
                claim,
                location,
                retention_s,
                key.first_send,
            )
        case ExpiredKey():
            raise RequestError(
                MayHaveRun(Reason.key_expired),
                'the idempotency key is older than the retention',
                _CONFLICT,
            )
        case FutureKey():
            raise RequestError(
                verdict_before_lookup(
                    NotRun(Reason.bad_request),
                    first_send=key.first_send,
                ),
                'the idempotency key was issued in the future',
                _BAD_REQUEST,
            )


def refusal_of(outcome: ChangeOutcome) -> RequestError:
    """Return the error for an order whose claim was not accepted."""
    match outcome:
        case KeyReused():
            return RequestError(
                NotRun(Reason.key_reused),
                'the idempotency key was used for a different request',
                _CONFLICT,
            )
        case SegmentFull():
            return RequestError(
                NotRun(Reason.queue_full, retry_after_s=1),
                'the order ledger is full for this key',
                _UNAVAILABLE,
            )
    return RequestError(
        MayHaveRun(Reason.key_in_use),
        'an earlier send of this order may be running or have run',
        _CONFLICT,
    )
