"""What the dispatcher of a cell is told and tells."""

from __future__ import annotations

from collections.abc import Callable

from attrs import define, frozen

from cowslipstep.model import (
    Address,
    Grant,
    NotRun,
    Rank,
    Reason,
    Refusal,
    SlotRequest,
)
from cowslipstep.routing._cell_slots import ONE_CELL, CellSlots

Clock = Callable[[], float]
SlotReplyCallback = Callable[[Grant | Refusal], None]


@frozen
class GroupSlots:
    """A group as the dispatcher sees it.

    Parameters
    ----------
    group
        Name of the group.
    address
        Address of its leading runner.
    slots
        Requests that it runs at once.
    ready_until_s
        Clock reading at which its readiness runs out.
    """

    group: str
    address: Address
    slots: int
    ready_until_s: float


@frozen
class WorkspaceShare:
    """Weight and limits of a workspace.

    Parameters
    ----------
    workspace
        Name of the workspace.
    weight
        Weight in fair queueing.
    tokens_per_s
        Rate limit over all cells; ``None`` for no limit.
    max_in_progress
        Requests in progress over all cells; ``None`` for no limit.
    """

    workspace: str
    weight: float = 1
    tokens_per_s: float | None = None
    max_in_progress: int | None = None


@frozen
class CellPolicy:
    """What the configuration says of a cell.

    Parameters
    ----------
    ranks
        Ranks, the most urgent first.
    workspaces
        Workspaces with their limits.
    cells
        Cells that share the limits, with this one.
    """

    ranks: tuple[Rank, ...]
    workspaces: tuple[WorkspaceShare, ...] = ()
    cells: CellSlots = ONE_CELL


@frozen
class DispatcherLoad:
    """Numbers of queued asks and of grants in use."""

    queued: int
    outstanding: int


@define(eq=False)
class QueuedAsk:
    """An ask that waits, and how to answer it."""

    ask: SlotRequest
    reply: SlotReplyCallback
    expires_s: float

    @property
    def request_id(self) -> str:
        """The request that asks."""
        return self.ask.request.request_id

    @property
    def workspace(self) -> str:
        """The workspace of the request."""
        return self.ask.request.workspace

    @property
    def rank(self) -> str:
        """The rank of the request."""
        return self.ask.request.rank

    @property
    def cost_tokens(self) -> int:
        """Prompt and expected answer together."""
        return self.ask.request.cost_tokens

    def refuse(self, reason: Reason, retry_after_s: float = 1) -> None:
        """Answer that there will be no slot."""
        verdict = NotRun(reason, retry_after_s=retry_after_s)
        self.reply(Refusal(self.request_id, verdict))
