"""Usage of rate-limited workspaces, passed on from cell to cell."""

from __future__ import annotations

import time

from attrs import evolve

from cowslipstep.model import Grant, Message, Refusal, SlotRequest
from cowslipstep.routing import UsageTable, newest_usages


class UsageExchange:
    """Adds the usage in replies of other cells to slot requests.

    A dispatcher sees only the usage of its own cell; the limits of a
    workspace hold for all cells together.
    """

    def __init__(self) -> None:
        self._usages = UsageTable(time.monotonic)

    def attach(self, slot_request: SlotRequest) -> SlotRequest:
        """Return the slot request with its workspace's usage of other cells."""
        usages = self._usages.of_other_cells(
            slot_request.request.workspace, slot_request.cell
        )
        return (
            evolve(slot_request, usages=newest_usages(usages))
            if usages
            else slot_request
        )

    def record(self, slot_request: SlotRequest, reply: Message | None) -> None:
        """Record the usage of a workspace that a reply contains."""
        if isinstance(reply, Grant | Refusal) and reply.usage is not None:
            self._usages.record(slot_request.request.workspace, reply.usage)
