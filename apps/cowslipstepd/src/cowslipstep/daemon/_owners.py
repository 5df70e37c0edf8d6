"""Owners of cells: who they are, and whether they fell silent."""

from __future__ import annotations

import contextlib
import time
from collections.abc import Iterator
from typing import Any

import eventlet

from cowslipstep.daemon._links import PeerLinks
from cowslipstep.daemon._state import DaemonState
from cowslipstep.model import Cell, ConfigurationQuery
from cowslipstep.peers import PeerUnreachable
from cowslipstep.routing import rank_owners

LOCAL = ''
CHECK_PERIOD_S = 0.25
_HEARD_S = 1
_PING_TIMEOUT_S = 0.75
_SHUNNED_S = 3
_MAX_OWNERS = 2


class Owners:
    """Knows the owners of cells and ends calls to one that fell silent.

    Explanation
    -----------
    An ask may wait in the owner's queue for long, so the time without a
    reply says nothing. An owner that was not heard from lately is asked for
    a sign of life, once for all the asks that wait for it.

    Parameters
    ----------
    state
        State of the daemon.
    links
        Links to the owners.
    """

    def __init__(self, state: DaemonState, links: PeerLinks) -> None:
        self._state = state
        self._links = links
        self._calls: dict[str, set[Any]] = {}
        self._shunned_until_s: dict[str, float] = {}

    def candidates(self, cell: Cell) -> Iterator[str]:
        """Yield the owner, the next one by hash, then this daemon alone."""
        now = time.monotonic()
        owners = rank_owners(str(cell), self._state.live_daemons)
        answering = [
            owner
            for owner in owners
            if self._shunned_until_s.get(owner, 0) <= now
        ]
        yield from answering[:_MAX_OWNERS]
        yield LOCAL

    @contextlib.contextmanager
    def watched(self, owner: str) -> Iterator[None]:
        """End the enclosed call if the owner falls silent.

        Raises
        ------
        PeerUnreachable
            If it does.
        """
        task = eventlet.getcurrent()
        calls = self._calls.setdefault(owner, set())
        calls.add(task)
        try:
            yield
        except PeerUnreachable:
            self._shunned_until_s[owner] = time.monotonic() + _SHUNNED_S
            raise
        finally:
            calls.discard(task)

    def check(self) -> None:
        """Look for owners that fell silent; call periodically."""
        heard = frozenset(self._state.membership.liveness.alive(_HEARD_S))
        waited_for = [owner for owner, calls in self._calls.items() if calls]
        for owner in waited_for:
            if owner not in heard:
                eventlet.spawn_n(self._ping, owner)

    def _ping(self, owner: str) -> None:
        query = ConfigurationQuery(self._state.version)
        calls = tuple(self._calls[owner])
        try:
            self._links.call(owner, query, _PING_TIMEOUT_S)
        except PeerUnreachable as error:
            for task in calls:
                if task in self._calls[owner]:
                    eventlet.kill(task, error)
