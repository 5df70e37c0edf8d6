"""Accounting of the grants of a dispatcher."""

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
    """Active grants of a cell, and measurements of those that ended."""

    grants: GrantTable
    limits: WorkspaceLimits
    outliers: OutlierDetector
    headroom: Headroom


def new_cell_state(clock: Clock) -> CellState:
    """Return the state of a cell without grants."""
    return CellState(
        GrantTable(clock),
        WorkspaceLimits(clock),
        OutlierDetector(clock),
        Headroom(clock),
    )


class GrantAccounting:
    """Counts active grants and charges ranks, workspaces and groups for them.

    Parameters
    ----------
    clock
        Monotonic clock, seconds.
    queue
        Queue whose ranks and workspaces are charged.
    state
        State of the cell that is updated.
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
        """Count a new grant.

        Its expected cost was charged when the slot request was queued and
        dequeued.
        """
        request = queued.slot_request.request
        granted_request = GrantedRequest(
            request.request_id,
            group,
            request.workspace,
            request.rank,
            request.prompt_tokens,
        )
        self._ended.pop(request.request_id, None)
        self._state.grants.add(granted_request, request.cost_tokens)

    def renew(self, renewal: Renewal) -> None:
        """Extend a grant, or take over one of another dispatcher.

        The renewal of a grant that has ended is ignored.
        """
        grant = self._state.grants.renew(renewal.request_id)
        if grant is not None:
            spent = grant.request.prompt_tokens + renewal.streamed_tokens
            self._charge(grant, max(grant.charged_tokens, spent))
            return
        if not renewal.group or renewal.request_id in self._ended:
            return
        granted_request = GrantedRequest(
            renewal.request_id,
            renewal.group,
            renewal.workspace,
            renewal.rank,
            renewal.prompt_tokens,
        )
        charged_tokens = renewal.prompt_tokens + renewal.streamed_tokens
        self._state.grants.add(granted_request, charged_tokens)
        self._state.limits.begin(granted_request.workspace, charged_tokens)

    def end(self, release: Release) -> None:
        """End a grant and correct its charges by the real cost."""
        self._remember_ended(release.request_id)
        grant = self._state.grants.remove(release.request_id)
        if grant is None:
            return
        if release.streamed_tokens:
            spent = grant.request.prompt_tokens + release.streamed_tokens
            self._charge(grant, spent)
        self._state.limits.end(grant.request.workspace)
        held_s = self._clock() - grant.granted_at_s
        self._state.headroom.record_held_time(held_s)
        # For a response that is not streamed, or whose caller has hung up,
        # there is only an estimate of the tokens, so its speed is not used.
        self._state.outliers.record_end(
            grant.request.group,
            release.streamed_tokens,
            held_s if release.streamed_tokens else 0,
            failed=release.failed,
        )

    def expire(self) -> None:
        """End the grants that have expired."""
        for grant in self._state.grants.expire():
            self._state.limits.end(grant.request.workspace)

    def _remember_ended(self, request_id: str) -> None:
        """Remember a request whose grant ended.

        A renewal that arrives after the release must not revive the grant.
        """
        self._ended[request_id] = None
        if len(self._ended) > _MAX_REMEMBERED_ENDS:
            self._ended.popitem(last=False)

    def _charge(self, grant: ActiveGrant, tokens: int) -> None:
        granted_request = grant.request
        extra = tokens - grant.charged_tokens
        grant.charged_tokens = tokens
        self._state.limits.charge(granted_request.workspace, extra)
        correct_cost(
            self._queue, granted_request.rank, granted_request.workspace, extra
        )
