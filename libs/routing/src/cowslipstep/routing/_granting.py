"""Grants to the slot requests that wait."""

from __future__ import annotations

from cowslipstep.model import Grant
from cowslipstep.routing._dispatcher_types import (
    Clock,
    GroupSlots,
    QueuedSlotRequest,
)
from cowslipstep.routing._grant_accounting import GrantAccounting
from cowslipstep.routing._grant_table import GRANT_VALID_S
from cowslipstep.routing._group_choice import GroupChoice
from cowslipstep.routing._waiting_requests import WaitingSlotRequests


class Granter:
    """Grants slots to waiting slot requests as long as groups have free slots.

    Parameters
    ----------
    clock
        Monotonic clock, seconds.
    waiting
        Slot requests that wait.
    choice
        Chooses the group of each grant.
    accounting
        Counts the grants.
    """

    def __init__(
        self,
        clock: Clock,
        waiting: WaitingSlotRequests,
        choice: GroupChoice,
        accounting: GrantAccounting,
    ) -> None:
        self._clock = clock
        self._waiting = waiting
        self._choice = choice
        self._accounting = accounting

    def grant_waiting(self) -> None:
        """Grant all slots that can be granted now.

        A reply may switch to another task that changes the queue, so no
        state that was read before a reply is used after it.
        """
        for deferred in tuple(self._waiting.deferred.values()):
            self._grant(deferred)
        while True:
            queued = self._waiting.pop(self._choice.free_slots())
            if queued is None:
                return
            if not self._grant(queued):
                self._waiting.deferred[queued.request_id] = queued

    def _grant(self, queued: QueuedSlotRequest) -> bool:
        group = self._choice.choose(queued.slot_request)
        if group is None:
            return False
        self._waiting.withdraw(queued.request_id)
        self._accounting.begin(queued, group.group)
        queued.reply(self._grant_message(queued, group))
        return True

    def _grant_message(
        self, queued: QueuedSlotRequest, group: GroupSlots
    ) -> Grant:
        return Grant(
            queued.request_id,
            group.group,
            group.address,
            GRANT_VALID_S,
            max(0, group.ready_until_s - self._clock()),
        )
