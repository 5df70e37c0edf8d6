"""Dispatcher of a cell: one queue, bound late to a group with room."""

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
from cowslipstep.routing._accounts import Accounts, open_books
from cowslipstep.routing._affinity import PrefixMap
from cowslipstep.routing._choice import GroupChoice
from cowslipstep.routing._granting import Granter
from cowslipstep.routing._intake import Intake
from cowslipstep.routing._learning import Learning
from cowslipstep.routing._ranked_queue import RankedQueue, apply_reserves
from cowslipstep.routing._views import (
    CellPolicy,
    Clock,
    DispatcherLoad,
    GroupSlots,
    SlotReplyCallback,
)
from cowslipstep.routing._waiting import WaitingAsks


class Dispatcher:
    """Queues asks of one cell and grants slots.

    Explanation
    -----------
    Submitting, granting, renewing and ending take time that grows with the
    logarithm of the number of workspaces that wait, and with the number of
    groups of the cell, which is bounded.

    Parameters
    ----------
    clock
        Monotonic clock, seconds.
    learning_s
        How long a new dispatcher, or one that was paused, uses only a part
        of the slots, since grants of another one may be in use.
    prefixes
        Which group probably holds a prompt's head, as far as is known.
    """

    def __init__(
        self,
        clock: Clock,
        learning_s: float = 0,
        prefixes: PrefixMap | None = None,
    ) -> None:
        self._learning = Learning(clock, learning_s)
        self._queue = RankedQueue(clock)
        self._books = open_books(clock)
        self._accounts = Accounts(clock, self._queue, self._books)
        self._waiting = WaitingAsks(clock, self._queue)
        self._choice = GroupChoice(
            clock,
            self._books.grants,
            self._books.outliers,
            PrefixMap() if prefixes is None else prefixes,
        )
        self._intake = Intake(
            clock,
            self._queue,
            self._waiting,
            self._books.limits,
        )
        self._granter = Granter(
            clock,
            self._waiting,
            self._choice,
            self._accounts,
        )

    @property
    def load(self) -> DispatcherLoad:
        """Numbers of queued asks and of grants in use."""
        return DispatcherLoad(self._waiting.size, self._books.grants.size)

    def update(
        self,
        policy: CellPolicy,
        groups: Iterable[GroupSlots],
    ) -> None:
        """Take over the policy and the groups; to be called periodically.

        Grants whose time has run out end, and asks past their deadline are
        refused.
        """
        slot_share = self._learning.slot_share()
        serving = self._choice.use_groups(groups, slot_share)
        self._accounts.expire()
        self._apply(policy, serving=serving and slot_share == 1)
        for late in self._waiting.late():
            self._intake.refuse(late, Reason.deadline)
        self._granter.grant_waiting()
        self._intake.shed()

    def submit(self, ask: SlotRequest, reply: SlotReplyCallback) -> None:
        """Queue an ask; ``reply`` is called once, now or later."""
        request_id = ask.request.request_id
        reply = self._books.limits.reporting(ask, reply)
        if not self._choice.may_serve(ask):
            verdict = NotRun(Reason.no_capacity, retry_after_s=1)
            reply(Refusal(request_id, verdict))
            return
        if not self._intake.admit(ask, reply):
            return
        self._granter.grant_waiting()
        if ask.immediate:
            self._intake.refuse_waiting(request_id, Reason.no_capacity)
        self._intake.shed()

    def renew(self, renewal: Renewal) -> None:
        """Extend a grant, or take over one that another dispatcher gave."""
        self._accounts.renew(renewal)

    def release(self, release: Release) -> None:
        """End a grant or withdraw a queued ask."""
        self._accounts.end(release)
        self._intake.withdraw(release.request_id, served=True)
        self._granter.grant_waiting()

    def _apply(self, policy: CellPolicy, *, serving: bool) -> None:
        books = self._books
        books.limits.apply(policy)
        for gone in self._queue.apply_policy(policy, serving=serving):
            self._waiting.queued.pop(gone.request_id)
            self._intake.refuse(gone, Reason.unknown_rank)
        reserves = books.headroom.reserves(policy.ranks, books.grants.uses)
        apply_reserves(self._queue, reserves)
