"""What came of a change to the order ledger."""

from __future__ import annotations

from attrs import frozen

from cowslipstep.delivery._orders import OrderAnswer


@frozen
class Entered:
    """The claim is in the ledger; its attempt alone may run the order."""


@frozen
class Answered:
    """An earlier attempt ran the order; its answer."""

    answer: OrderAnswer


@frozen
class InUse:
    """Another attempt holds the key and may be running, or may have run."""


@frozen
class OtherRequest:
    """The key was used for a request that asks for something else."""


@frozen
class SegmentFull:
    """The segment holds as many entries as it can."""


@frozen
class Noted:
    """An answer or a withdrawal was taken in."""


EntryResult = Entered | Answered | InUse | OtherRequest | SegmentFull | Noted
