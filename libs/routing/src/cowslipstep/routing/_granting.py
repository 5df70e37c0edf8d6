"""Grants to the asks that wait."""

from __future__ import annotations

from cowslipstep.model import Grant
from cowslipstep.routing._accounts import Accounts
from cowslipstep.routing._choice import GroupChoice
from cowslipstep.routing._grant_table import GRANT_VALID_S
from cowslipstep.routing._views import Clock, GroupSlots, QueuedAsk
from cowslipstep.routing._waiting import WaitingAsks


class Granter:
    """Grants slots to asks as long as groups have room.

    Parameters
    ----------
    clock
        Monotonic clock, seconds.
    waiting
        Asks that wait.
    choice
        Chooses the group for each.
    accounts
        Counts the grants.
    """

    def __init__(
        self,
        clock: Clock,
        waiting: WaitingAsks,
        choice: GroupChoice,
        accounts: Accounts,
    ) -> None:
        self._clock = clock
        self._waiting = waiting
        self._choice = choice
        self._accounts = accounts

    def grant_waiting(self) -> None:
        """Grant what can be granted now.

        A reply may let other tasks run, so nothing is kept from before it.
        """
        for kept in tuple(self._waiting.aside.values()):
            self._grant(kept)
        while True:
            queued = self._waiting.pop(self._choice.free_slots())
            if queued is None:
                return
            if not self._grant(queued):
                self._waiting.aside[queued.request_id] = queued

    def _grant(self, queued: QueuedAsk) -> bool:
        group = self._choice.choose(queued.ask)
        if group is None:
            return False
        self._waiting.withdraw(queued.request_id)
        self._accounts.begin(queued, group.group)
        queued.reply(self._message(queued, group))
        return True

    def _message(self, queued: QueuedAsk, group: GroupSlots) -> Grant:
        return Grant(
            queued.request_id,
            group.group,
            group.address,
            GRANT_VALID_S,
            max(0, group.ready_until_s - self._clock()),
        )
