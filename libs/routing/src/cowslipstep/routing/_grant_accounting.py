"""Accounts of the work that a dispatcher granted."""

from __future__ import annotations

import collections

from attrs import frozen

from cowslipstep.model import Release, Renewal
from cowslipstep.routing._dispatcher_types import Clock, QueuedSlotRequest
from cowslipstep.routing._grant_table import (
    ActiveGrant,
    GrantedRequest,
    GrantTable,
)
from cowslipstep.routing._headroom import Headroom
from cowslipstep.routing._limits import WorkspaceLimits
from cowslipstep.routing._outliers import OutlierDetector
from cowslipstep.routing._ranked_queue import RankedQueue, correct_cost

_MAX_REMEMBERED_ENDS = 20000


@frozen
class CellState:
    """What is counted of the grants in use and of those that ended."""

    grants: GrantTable
    limits: WorkspaceLimits
    outliers: OutlierDetector
    headroom: Headroom


def new_cell_state(clock: Clock) -> CellState:
    """Return books without entries."""
    return CellState(
        GrantTable(clock),
        WorkspaceLimits(clock),
        OutlierDetector(clock),
        Headroom(clock),
    )


class GrantAccounting:
    """Counts grants in use and charges ranks, workspaces and groups for them.

    Parameters
    ----------
    clock
        Monotonic clock, seconds.
    queue
        Its ranks and workspaces are charged.
    books
        Where all is counted.
    """

    def __init__(
        self, clock: Clock, queue: RankedQueue, state: CellState
    ) -> None:
        self._clock = clock
        self._queue = queue
        self._state = state
        self._ended: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    def begin(self, queued: QueuedSlotRequest, group: str) -> None:
        """Count a new grant; its cost was charged when it left the queue."""
        request = queued.slot_request.request
        work = GrantedRequest(
            request.request_id,
            group,
            request.workspace,
            request.rank,
            request.prompt_tokens,
        )
        self._ended.pop(request.request_id, None)
        self._state.grants.add(work, request.cost_tokens)

    def renew(self, renewal: Renewal) -> None:
        """Extend a grant, or take over one that another dispatcher gave."""
        granted = self._state.grants.renew(renewal.request_id)
        if granted is not None:
            spent = granted.request.prompt_tokens + renewal.streamed_tokens
            self._charge(granted, max(granted.charged_tokens, spent))
            return
        if not renewal.group or renewal.request_id in self._ended:
            return
        work = GrantedRequest(
            renewal.request_id,
            renewal.group,
            renewal.workspace,
            renewal.rank,
            renewal.prompt_tokens,
        )
        charged_tokens = renewal.prompt_tokens + renewal.streamed_tokens
        self._state.grants.add(work, charged_tokens)
        self._state.limits.begin(work.workspace, charged_tokens)

    def end(self, release: Release) -> None:
        """End a grant and put its charges right."""
        self._remember_ended(release.request_id)
        granted = self._state.grants.remove(release.request_id)
        if granted is None:
            return
        if release.streamed_tokens:
            spent = granted.request.prompt_tokens + release.streamed_tokens
            self._charge(granted, spent)
        self._state.limits.end(granted.request.workspace)
        held_s = self._clock() - granted.granted_at_s
        self._state.headroom.record_held_time(held_s)
        # Unary answers and hang-ups tell only an estimate of their tokens.
        self._state.outliers.record_end(
            granted.request.group,
            release.streamed_tokens,
            held_s if release.streamed_tokens else 0,
            failed=release.failed,
        )

    def expire(self) -> None:
        """End the grants whose time has run out."""
        for granted in self._state.grants.expire():
            self._state.limits.end(granted.request.workspace)

    def _remember_ended(self, request_id: str) -> None:
        """Remember a request, whose last renewal may come late."""
        self._ended[request_id] = None
        if len(self._ended) > _MAX_REMEMBERED_ENDS:
            self._ended.popitem(last=False)

    def _charge(self, granted: ActiveGrant, tokens: int) -> None:
        work = granted.request
        extra = tokens - granted.charged_tokens
        granted.charged_tokens = tokens
        self._state.limits.charge(work.workspace, extra)
        correct_cost(self._queue, work.rank, work.workspace, extra)
