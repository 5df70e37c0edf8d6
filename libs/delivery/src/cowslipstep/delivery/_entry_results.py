"""What came of a change to the order ledger."""

from __future__ import annotations

from attrs import frozen

from cowslipstep.delivery._orders import OrderResponse


@frozen
class ClaimEntered:
    """The claim is in the ledger; its attempt alone may run the order."""


@frozen
class AlreadyAnswered:
    """An earlier attempt ran the order; its answer."""

    answer: OrderResponse


@frozen
class KeyInUse:
    """Another attempt holds the key and may be running, or may have run."""


@frozen
class KeyReused:
    """The key was used for a request that asks for something else."""


@frozen
class SegmentFull:
    """The segment holds as many entries as it can."""


@frozen
class ChangeRecorded:
    """An answer or a withdrawal was taken in."""


EntryResult = (
    ClaimEntered
    | AlreadyAnswered
    | KeyInUse
    | KeyReused
    | SegmentFull
    | ChangeRecorded
)
