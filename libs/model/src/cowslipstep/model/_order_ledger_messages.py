"""Messages between daemons about the order ledger."""

from __future__ import annotations

import enum

from attrs import frozen


class OrderLedgerOperation(enum.StrEnum):
    """What is done with a claim."""

    enter = 'enter'
    answer = 'answer'
    withdraw = 'withdraw'


class OrderLedgerOutcome(enum.StrEnum):
    """What came of it."""

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
    """Response of an order; ``body`` is ``None`` if it was too long to keep."""

    status: int
    content_type: str
    body: bytes | None


@frozen
class OrderLedgerCall:
    """A daemon asks the owner of a segment to write a claim there.

    Parameters
    ----------
    segment
        Name of the segment.
    step
        What is done with the claim.
    digest
        Digest of workspace and idempotency key.
    attempt
        Unique for each attempt.
    fingerprint
        Digest of what the order asks for.
    answer
        The answer to keep, if any.
    """

    segment: str
    step: OrderLedgerOperation
    digest: str
    attempt: str
    fingerprint: str
    answer: StoredResponse | None = None


@frozen
class OrderLedgerReply:
    """What came of a ``OrderLedgerCall``, with the answer of an earlier run."""

    outcome: OrderLedgerOutcome
    answer: StoredResponse | None = None


OrderMessage = OrderLedgerCall | OrderLedgerReply
