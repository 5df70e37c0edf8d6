"""Outcomes of changes to the ledger of orders."""

from __future__ import annotations

from attrs import frozen

from cowslipstep.delivery._orders import OrderResponse


@frozen
class ClaimEntered:
    """The ledger accepted the claim; only its daemon may run the order."""


@frozen
class AlreadyAnswered:
    """The order ran under an earlier claim, which recorded the response."""

    response: OrderResponse


@frozen
class KeyInUse:
    """Another claim holds the key; its order may be running or have run."""


@frozen
class KeyReused:
    """The key was already used for a request with other content."""


@frozen
class SegmentFull:
    """The segment holds the largest allowed number of entries."""


@frozen
class ChangeRecorded:
    """A response or a withdrawal was applied, or did not apply any more."""


ChangeOutcome = (
    ClaimEntered
    | AlreadyAnswered
    | KeyInUse
    | KeyReused
    | SegmentFull
    | ChangeRecorded
)
