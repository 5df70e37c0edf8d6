"""Messages between an entry daemon and the dispatcher of a cell.

The entry daemon is the one that received the request from its caller. It
needs a grant for a slot before it may send the request to a group.
"""

from __future__ import annotations

from attrs import frozen

from cowslipstep.model._fleet import Address, Cell
from cowslipstep.model._requests import Request
from cowslipstep.model._verdicts import NotRun


@frozen
class CellUsage:
    """How much of one cell a workspace with limits uses.

    Dispatchers report it in their replies; entry daemons pass it on to the
    dispatchers of other cells, since limits hold over all cells.

    Parameters
    ----------
    cell
        The cell.
    tokens_per_s
        Tokens a second that the workspace used there lately.
    in_progress
        Its requests in progress there.
    age_s
        Time since the dispatcher of the cell measured it, seconds.
    """

    cell: Cell
    tokens_per_s: float
    in_progress: int
    age_s: float = 0


@frozen
class SlotRequest:
    """An entry daemon requests a slot from the dispatcher of a cell.

    The dispatcher replies with a ``Grant`` or a ``Refusal``.

    Parameters
    ----------
    cell
        The cell whose dispatcher receives the message.
    request
        The request that is to run in the slot.
    avoided_groups
        Names of groups on which earlier attempts of the request failed.
    immediate
        Whether to refuse the request at once, without queuing, if no slot is
        free.
    usages
        Usage of other cells by the workspace, as their dispatchers reported.
    """

    cell: Cell
    request: Request
    avoided_groups: tuple[str, ...] = ()
    immediate: bool = False
    usages: tuple[CellUsage, ...] = ()


@frozen
class Grant:
    """A dispatcher grants a slot on a group.

    The slot is in use until the grant is released or expires.

    Parameters
    ----------
    request_id
        The request that may use the slot.
    group
        Name of the group.
    address
        Address of the group's leader.
    valid_s
        Time until the grant expires unless renewed, seconds.
    startable_s
        Time within which the request must be sent to the group, seconds;
        after that the confirmation of the group's readiness has expired.
    usage
        Usage of the cell by the workspace, if it has limits.
    """

    request_id: str
    group: str
    address: Address
    valid_s: float
    startable_s: float = 0
    usage: CellUsage | None = None


@frozen
class Refusal:
    """A dispatcher refuses a slot for a request.

    Parameters
    ----------
    request_id
        The request.
    verdict
        Why there is no slot, and after which delay to request one again.
    usage
        Usage of the cell by the workspace, if it has limits.
    """

    request_id: str
    verdict: NotRun
    usage: CellUsage | None = None


@frozen
class Renewal:
    """An entry daemon extends a grant and reports the tokens streamed so far.

    The fields from ``group`` on describe the grant to a dispatcher that has
    taken over the cell from another daemon and has no record of the grant.
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
    """An entry daemon ends a grant, or withdraws a slot request.

    ``failed`` is true if the attempt on the group failed, which counts
    against the group in later choices.
    """

    cell: Cell
    request_id: str
    streamed_tokens: int
    failed: bool = False


GrantMessage = SlotRequest | Grant | Refusal | Renewal | Release
