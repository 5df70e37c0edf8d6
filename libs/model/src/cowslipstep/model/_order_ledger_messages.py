"""Messages between daemons on the ledger of orders.

An order is a request with an idempotency key, which may run at most once.
The ledger stores for each key the claim of the attempt that may run it, and
later the response. It is split into segments, each written by one owner.
"""

from __future__ import annotations

import enum

from attrs import frozen


class OrderLedgerOperation(enum.StrEnum):
    """Change of the ledger that an ``OrderLedgerCall`` requests.

    Attributes
    ----------
    enter
        Claim the key for an attempt.
    answer
        Store the response of the attempt that holds the claim.
    withdraw
        Remove the claim of an attempt that did not run.
    """

    enter = 'enter'
    answer = 'answer'
    withdraw = 'withdraw'


class OrderLedgerOutcome(enum.StrEnum):
    """Result of an ``OrderLedgerCall``.

    Attributes
    ----------
    entered
        The attempt holds the claim and may run.
    answered
        An earlier attempt has run; the reply holds its response.
    in_use
        Another attempt holds the claim and has no response yet.
    other_request
        The key was used before with a different request.
    full
        The segment has no room for another claim.
    noted
        The response was stored, or the claim removed.
    unavailable
        The owner could not write the change.
    unknown
        The platform did not confirm the change and may have made it.
    """

    entered = 'entered'
    answered = 'answered'
    in_use = 'in_use'
    other_request = 'other_request'
    full = 'full'
    noted = 'noted'
    unavailable = 'unavailable'
    unknown = 'unknown'


@frozen
class StoredResponse:
    """Response of an order; ``body`` is ``None`` if too long to be stored."""

    status: int
    content_type: str
    body: bytes | None


@frozen
class OrderLedgerCall:
    """A daemon requests a change from the owner of a segment.

    The owner combines the changes of all daemons into one write.

    Parameters
    ----------
    segment
        Name of the segment.
    operation
        The change.
    digest
        Digest of the workspace and the idempotency key.
    attempt
        Unique identifier of the attempt.
    fingerprint
        Digest of the request, by which a key that is used again with another
        request is detected.
    response
        The response to store, for ``OrderLedgerOperation.answer``.
    """

    segment: str
    operation: OrderLedgerOperation
    digest: str
    attempt: str
    fingerprint: str
    response: StoredResponse | None = None


@frozen
class OrderLedgerReply:
    """Reply to ``OrderLedgerCall``.

    ``response`` is the stored response if the outcome is ``answered``.
    """

    outcome: OrderLedgerOutcome
    response: StoredResponse | None = None


OrderMessage = OrderLedgerCall | OrderLedgerReply
