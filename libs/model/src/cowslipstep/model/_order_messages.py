"""Messages between daemons about the order ledger."""

from __future__ import annotations

import enum

from attrs import frozen


class LedgerStep(enum.StrEnum):
    """What is done with a claim."""

    enter = 'enter'
    answer = 'answer'
    withdraw = 'withdraw'


class LedgerOutcome(enum.StrEnum):
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
class LedgerAnswer:
    """Answer of an order; ``body`` is ``None`` if it was too long to keep."""

    status: int
    content_type: str
    body: bytes | None


@frozen
class LedgerCall:
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
    step: LedgerStep
    digest: str
    attempt: str
    fingerprint: str
    answer: LedgerAnswer | None = None


@frozen
class LedgerReply:
    """What came of a ``LedgerCall``, with the answer of an earlier run."""

    outcome: LedgerOutcome
    answer: LedgerAnswer | None = None


OrderMessage = LedgerCall | LedgerReply
