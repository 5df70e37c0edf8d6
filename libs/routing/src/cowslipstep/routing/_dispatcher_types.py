"""Inputs and outputs of the dispatcher of a cell."""

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
    """A group and the slots that its dispatcher may grant.

    Parameters
    ----------
    group
        Name of the group.
    address
        Address of its leader.
    slots
        Requests that it runs at the same time.
    ready_until_s
        Clock reading at which its readiness expires unless confirmed again.
    """

    group: str
    address: Address
    slots: int
    ready_until_s: float


@frozen
class WorkspacePolicy:
    """Weight and limits of a workspace.

    Parameters
    ----------
    workspace
        Name of the workspace.
    weight
        Weight in fair queuing.
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
    """The parts of the configuration that apply to a cell.

    Parameters
    ----------
    ranks
        Ranks, the most urgent first.
    workspaces
        Workspaces with their limits.
    cells
        This cell and the cells with which it shares the limits.
    """

    ranks: tuple[Rank, ...]
    workspaces: tuple[WorkspacePolicy, ...] = ()
    cells: CellSlots = ONE_CELL


@frozen
class DispatcherLoad:
    """Numbers of queued slot requests and of active grants."""

    queued: int
    outstanding: int


@define(eq=False)
class QueuedSlotRequest:
    """A slot request that waits at a dispatcher.

    Parameters
    ----------
    slot_request
        The message of the entry daemon.
    reply
        Sends the grant or refusal; called once.
    expires_s
        Clock reading at which the slot request is refused.
    """

    slot_request: SlotRequest
    reply: SlotReplyCallback
    expires_s: float

    @property
    def request_id(self) -> str:
        """Identifier of the request that needs the slot."""
        return self.slot_request.request.request_id

    @property
    def workspace(self) -> str:
        """Workspace of the request."""
        return self.slot_request.request.workspace

    @property
    def rank(self) -> str:
        """Rank of the request."""
        return self.slot_request.request.rank

    @property
    def cost_tokens(self) -> int:
        """Size of prompt and expected response together."""
        return self.slot_request.request.cost_tokens

    def refuse(self, reason: Reason, retry_after_s: float = 1) -> None:
        """Reply that no slot is granted, with the reason."""
        verdict = NotRun(reason, retry_after_s=retry_after_s)
        self.reply(Refusal(self.request_id, verdict))
