"""Dispatcher of a cell: one queue for all its groups.

A slot request is bound to a group only when the slot is granted, so that no
request waits at a full group while another group has a free slot.
"""

from __future__ import annotations

from collections.abc import Iterable

from cowslipstep.model import (
    NotRun,
    Reason,
    Refusal,
    Release,
    Renewal,
    SlotRequest,
)
from cowslipstep.routing._dispatcher_types import (
    CellPolicy,
    Clock,
    DispatcherLoad,
    GroupSlots,
    SlotReplyCallback,
)
from cowslipstep.routing._grant_accounting import (
    GrantAccounting,
    new_cell_state,
)
from cowslipstep.routing._granting import Granter
from cowslipstep.routing._group_choice import GroupChoice
from cowslipstep.routing._intake import Intake
from cowslipstep.routing._learning_mode import LearningMode
from cowslipstep.routing._prefix_map import PrefixMap
from cowslipstep.routing._ranked_queue import RankedQueue, apply_reserves
from cowslipstep.routing._waiting_requests import WaitingSlotRequests


class Dispatcher:
    """Queues the slot requests of one cell and grants the slots of its groups.

    Explanation
    -----------
    To submit, grant, renew or release takes time that grows with the
    logarithm of the number of waiting workspaces, and with the number of
    groups of the cell, which is bounded.

    Parameters
    ----------
    clock
        Monotonic clock, seconds.
    learning_s
        How long a new dispatcher, or one that was paused, grants only a part
        of the slots, since grants of another dispatcher may be active.
    prefixes
        Which group probably has the beginning of a prompt in its cache.
    """

    def __init__(
        self,
        clock: Clock,
        learning_s: float = 0,
        prefixes: PrefixMap | None = None,
    ) -> None:
        self._learning = LearningMode(clock, learning_s)
        self._queue = RankedQueue(clock)
        self._state = new_cell_state(clock)
        self._accounting = GrantAccounting(clock, self._queue, self._state)
        self._waiting = WaitingSlotRequests(clock, self._queue)
        self._choice = GroupChoice(
            clock,
            self._state.grants,
            self._state.outliers,
            PrefixMap() if prefixes is None else prefixes,
        )
        self._intake = Intake(
            clock,
            self._queue,
            self._waiting,
            self._state.limits,
        )
        self._granter = Granter(
            clock,
            self._waiting,
            self._choice,
            self._accounting,
        )

    @property
    def load(self) -> DispatcherLoad:
        """Numbers of queued slot requests and of active grants."""
        return DispatcherLoad(self._waiting.size, self._state.grants.size)

    def update(
        self,
        policy: CellPolicy,
        groups: Iterable[GroupSlots],
    ) -> None:
        """Apply the policy and the list of groups; to be called periodically.

        Ends expired grants and refuses slot requests past their deadline.
        """
        slot_share = self._learning.slot_share()
        serving = self._choice.update_groups(groups, slot_share)
        self._accounting.expire()
        self._apply_policy(policy, serving=serving and slot_share == 1)
        for expired in self._waiting.pop_expired():
            self._intake.refuse(expired, Reason.deadline)
        self._granter.grant_waiting()
        self._intake.shed()

    def submit(
        self, slot_request: SlotRequest, reply: SlotReplyCallback
    ) -> None:
        """Queue a slot request; ``reply`` is called once, now or later."""
        request_id = slot_request.request.request_id
        reply = self._state.limits.exchange_usage(slot_request, reply)
        if not self._choice.may_serve(slot_request):
            verdict = NotRun(Reason.no_capacity, retry_after_s=1)
            reply(Refusal(request_id, verdict))
            return
        if not self._intake.admit(slot_request, reply):
            return
        self._granter.grant_waiting()
        if slot_request.immediate:
            self._intake.refuse_waiting(request_id, Reason.no_capacity)
        self._intake.shed()

    def renew(self, renewal: Renewal) -> None:
        """Extend a grant, or take over one of another dispatcher."""
        self._accounting.renew(renewal)

    def release(self, release: Release) -> None:
        """End a grant, or withdraw a queued slot request.

        A withdrawn one counts as served, since the usual reason is that
        another cell granted a slot.
        """
        self._accounting.end(release)
        self._intake.withdraw(release.request_id, served=True)
        self._granter.grant_waiting()

    def _apply_policy(self, policy: CellPolicy, *, serving: bool) -> None:
        state = self._state
        state.limits.apply(policy)
        for removed in self._queue.apply_policy(policy, serving=serving):
            self._waiting.queued.pop(removed.request_id)
            self._intake.refuse(removed, Reason.unknown_rank)
        reserves = state.headroom.reserves(
            policy.ranks, state.grants.slot_counts
        )
        apply_reserves(self._queue, reserves)
