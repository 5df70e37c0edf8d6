"""Calls that wait for a reply of the owner of a cell."""

from __future__ import annotations

import contextlib
from collections.abc import Iterable, Iterator
from typing import Any

import eventlet
from attrs import define

from cowslipstep.daemon._links import PeerLinks
from cowslipstep.daemon._owners import LOCAL_DISPATCHER, Owners
from cowslipstep.daemon._state import DaemonState
from cowslipstep.model import Cell, ConfigurationQuery
from cowslipstep.peers import PeerUnreachable

OWNER_CHECK_PERIOD_S = 0.25
_RECENT_HEARTBEAT_MAX_AGE_S = 1
_PING_TIMEOUT_S = 0.75


class OwnerChanged(Exception):
    """The cell has another owner since the call was sent."""


@define(eq=False)
class _PendingCall:
    """A task that waits for a reply, and the owner of the cell at its start.

    The owner at the start is not always the daemon that is called: that may be
    the next candidate.
    """

    task: Any
    cell: Cell
    owner_at_start: str


class PendingOwnerCalls:
    """Ends calls to owners that became unreachable or lost the cell.

    Explanation
    -----------
    A slot request may wait in the owner's queue for long, so a late reply
    does not show that the owner failed. An owner without a recent heartbeat
    is sent a ping, one for all calls that wait for it. Calls that wait at a
    former owner are ended, and the slot requests are sent to the new owner,
    since the former one has no record of the slots that the new one grants.

    Parameters
    ----------
    state
        State of the daemon.
    links
        Links to the owners.
    owners
        The present owner of each cell.
    """

    def __init__(
        self,
        state: DaemonState,
        links: PeerLinks,
        owners: Owners,
    ) -> None:
        self._state = state
        self._links = links
        self._owners = owners
        self._pending: dict[str, set[_PendingCall]] = {}

    @contextlib.contextmanager
    def monitored(self, owner: str, cell: Cell) -> Iterator[None]:
        """End the enclosed call if the owner becomes unreachable or changes.

        Raises
        ------
        PeerUnreachable
            If the owner does not answer a ping.
        OwnerChanged
            If another daemon has become the owner of the cell.
        """
        owner_at_start = self._owners.current_owner(cell)
        call = _PendingCall(eventlet.getcurrent(), cell, owner_at_start)
        calls = self._pending.setdefault(owner, set())
        calls.add(call)
        try:
            yield
        except PeerUnreachable:
            self._owners.suspect(owner)
            raise
        finally:
            calls.discard(call)

    def check(self) -> None:
        """Ping silent owners and end outdated calls; call it periodically."""
        recently_alive = frozenset(
            self._state.membership.liveness.alive(_RECENT_HEARTBEAT_MAX_AGE_S)
        )
        recently_alive |= {LOCAL_DISPATCHER, self._state.settings.name}
        for owner, calls in tuple(self._pending.items()):
            if calls and owner not in recently_alive:
                eventlet.spawn_n(self._ping, owner)
            self._end_outdated(owner, tuple(calls))

    def _end_outdated(self, owner: str, calls: Iterable[_PendingCall]) -> None:
        current_owners = {
            call.cell: self._owners.current_owner(call.cell) for call in calls
        }
        for call in calls:
            if current_owners[call.cell] not in {call.owner_at_start, owner}:
                self._end(owner, call, OwnerChanged())

    def _ping(self, owner: str) -> None:
        query = ConfigurationQuery(self._state.version)
        calls = tuple(self._pending[owner])
        try:
            self._links.call(owner, query, _PING_TIMEOUT_S)
        except PeerUnreachable as error:
            for call in calls:
                self._end(owner, call, error)

    def _end(self, owner: str, call: _PendingCall, error: Exception) -> None:
        # Other tasks run during each kill, and this call may end meanwhile.
        if call in self._pending[owner]:
            eventlet.kill(call.task, error)
