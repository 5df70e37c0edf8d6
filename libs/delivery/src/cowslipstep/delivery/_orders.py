"""Orders in the ledger: claims, entries, stored responses and changes.

An order is a caller's request that may run at most once. The caller may send
it several times under the same idempotency key; each sending makes a claim,
and the ledger accepts one claim for a key.
"""

from __future__ import annotations

from attrs import frozen


@frozen
class OrderClaim:
    """Claim to run the order that an idempotency key stands for.

    Parameters
    ----------
    digest
        Digest of workspace and idempotency key.
    claim_id
        Unique identifier of this claim. A daemon whose write had no response
        reads the segment again and recognizes its own entry by it.
    fingerprint
        Digest of the content of the request, to detect a key that is reused
        for another request.
    """

    digest: str
    claim_id: str
    fingerprint: str


@frozen
class OrderResponse:
    """Response to an order that ran.

    ``body`` is ``None`` if it was too long to store.
    """

    status: int
    content_type: str
    body: bytes | None


@frozen
class OrderEntry:
    """Accepted claim, and the response of its order once that is recorded.

    While ``response`` is ``None`` the order may be waiting, running, or have
    run. ``entered_unix_s`` is the time of the claim, from which the retention
    is counted.
    """

    claim: OrderClaim
    entered_unix_s: float
    response: OrderResponse | None = None


@frozen
class ClaimOrder:
    """Change that enters a claim unless another one holds its key."""

    claim: OrderClaim


@frozen
class RecordResponse:
    """Change that stores the response to the order of an accepted claim."""

    claim: OrderClaim
    response: OrderResponse


@frozen
class WithdrawClaim:
    """Change that removes a claim whose order provably did not run."""

    claim: OrderClaim


OrderChange = ClaimOrder | RecordResponse | WithdrawClaim
