"""Orders in the ledger: claims, changes and what came of them."""

from __future__ import annotations

from attrs import frozen


@frozen
class OrderClaim:
    """The claim of one attempt to run an order.

    Parameters
    ----------
    digest
        Digest of workspace and idempotency key.
    attempt
        Unique for each attempt; tells the writer its own entry from
        another's after a lost answer.
    fingerprint
        Digest of what the order asks for.
    """

    digest: str
    attempt: str
    fingerprint: str


@frozen
class OrderResponse:
    """Answer of an order that ran.

    ``body`` is ``None`` where it was too long to keep.
    """

    status: int
    content_type: str
    body: bytes | None


@frozen
class OrderEntry:
    """An entered order; it is open as long as it has no answer."""

    claim: OrderClaim
    entered_unix_s: float
    answer: OrderResponse | None = None


@frozen
class ClaimOrder:
    """Enters a claim unless its key is taken."""

    claim: OrderClaim


@frozen
class RecordResponse:
    """Keeps the answer of the attempt that ran."""

    claim: OrderClaim
    answer: OrderResponse


@frozen
class WithdrawClaim:
    """Removes the claim of an attempt that provably did not run."""

    claim: OrderClaim


OrderChange = ClaimOrder | RecordResponse | WithdrawClaim
