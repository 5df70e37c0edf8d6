"""Messages between an entry daemon and the dispatcher of a cell."""

from __future__ import annotations

from attrs import frozen

from cowslipstep.model._fleet import Address, Cell
from cowslipstep.model._requests import Request
from cowslipstep.model._verdicts import NotRun


@frozen
class CellUsage:
    """What a workspace that has limits uses of a cell.

    ``age_s`` is the time since the cell's dispatcher told it.
    """

    cell: Cell
    tokens_per_s: float
    in_progress: int
    age_s: float = 0


@frozen
class SlotRequest:
    """An entry daemon asks the dispatcher of a cell for a slot.

    ``avoided_groups`` names groups on which an earlier attempt failed;
    ``immediate`` asks for a slot now or a refusal; ``usages`` passes on what
    other cells reported of the workspace.
    """

    cell: Cell
    request: Request
    avoided_groups: tuple[str, ...] = ()
    immediate: bool = False
    usages: tuple[CellUsage, ...] = ()


@frozen
class Grant:
    """A slot on a group, valid until released or expired.

    Parameters
    ----------
    request_id
        The request that the slot is for.
    group
        Name of the group.
    address
        Address of the leading runner.
    valid_s
        Seconds until the slot is taken back unless renewed.
    startable_s
        Seconds within which the request may be sent to the group, since the
        group's readiness runs out then.
    usage
        What the workspace uses of the cell, if it has limits.
    """

    request_id: str
    group: str
    address: Address
    valid_s: float
    startable_s: float = 0
    usage: CellUsage | None = None


@frozen
class Refusal:
    """The dispatcher will not grant a slot for the request.

    ``usage`` is what the workspace uses of the cell, if it has limits.
    """

    request_id: str
    verdict: NotRun
    usage: CellUsage | None = None


@frozen
class Renewal:
    """Extends a grant and reports the tokens streamed so far.

    The other fields describe the grant to a dispatcher that has taken over
    the cell and does not know it.
    """

    cell: Cell
    request_id: str
    streamed_tokens: int
    group: str = ''
    workspace: str = ''
    rank: str = ''
    prompt_tokens: int = 0


@frozen
class Release:
    """Ends a grant, or withdraws a slot request that was not granted yet.

    ``failed`` is true when the group did not answer as it should.
    """

    cell: Cell
    request_id: str
    streamed_tokens: int
    failed: bool = False


GrantMessage = SlotRequest | Grant | Refusal | Renewal | Release
