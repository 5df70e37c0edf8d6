"""Orders with an idempotency key, and refusals of them."""

from __future__ import annotations

import time
import uuid

from attrs import frozen

from cowslipstep.delivery import (
    EntryResult,
    ExpiredKey,
    FutureKey,
    KeyReused,
    OrderClaim,
    SegmentFull,
    SegmentPlace,
    before_ledger,
    digest_of,
    locate_key,
)
from cowslipstep.model import MayHaveRun, NotRun, Reason, RequestError

_BAD_REQUEST = 400
_CONFLICT = 409
_UNAVAILABLE = 503


@frozen
class KeyUse:
    """An idempotency key as a caller gave it.

    ``first_send`` is true if the caller says that it sends the request for
    the first time.
    """

    workspace: str
    key: str
    first_send: bool


@frozen
class KeyedOrder:
    """An order, its claim and where the claim is kept."""

    workspace: str
    claim: OrderClaim
    place: SegmentPlace
    retention_s: float
    first_send: bool


def keyed_order(
    use: KeyUse,
    asked: tuple[bytes, ...],
    retention_s: float,
) -> KeyedOrder:
    """Return the order of a request that asks for ``asked``.

    Raises
    ------
    RequestError
        If the key's issue time is too old or lies in the future.
    """
    place = locate_key(use.workspace, use.key, time.time(), retention_s)
    match place:
        case SegmentPlace(digest=digest):
            claim = OrderClaim(digest, uuid.uuid4().hex, digest_of(*asked))
            return KeyedOrder(
                use.workspace,
                claim,
                place,
                retention_s,
                use.first_send,
            )
        case ExpiredKey():
            raise RequestError(
                MayHaveRun(Reason.key_expired),
                'the idempotency key is older than the retention',
                _CONFLICT,
            )
        case FutureKey():
            raise RequestError(
                before_ledger(
                    NotRun(Reason.bad_request),
                    first_send=use.first_send,
                ),
                'the idempotency key was issued in the future',
                _BAD_REQUEST,
            )


def refusal_of(refused: EntryResult) -> RequestError:
    """Return the error for an order that may not run now."""
    match refused:
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
