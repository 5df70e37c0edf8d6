"""What cells told of workspaces' use, passed on between them."""

from __future__ import annotations

import time

from attrs import evolve

from cowslipstep.model import Grant, Message, Refusal, SlotRequest
from cowslipstep.routing import UsageTable, newest_usages


class UseExchange:
    """Adds to asks what the replies of other cells told."""

    def __init__(self) -> None:
        self._uses = UsageTable(time.monotonic)

    def inform(self, ask: SlotRequest) -> SlotRequest:
        """Return the ask with what other cells told of its workspace."""
        uses = self._uses.of_other_cells(ask.request.workspace, ask.cell)
        return evolve(ask, usages=newest_usages(uses)) if uses else ask

    def learn(self, ask: SlotRequest, reply: Message | None) -> None:
        """Remember what a reply tells."""
        if isinstance(reply, Grant | Refusal) and reply.usage is not None:
            self._uses.record(ask.request.workspace, reply.usage)
