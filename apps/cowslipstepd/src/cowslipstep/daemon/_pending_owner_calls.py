"""Tasks that wait for owners of cells, and when they wait in vain."""

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
_HEARD_S = 1
_PING_TIMEOUT_S = 0.75


class OwnerChanged(Exception):
    """Another daemon owns the cell now."""


@define(eq=False)
class _Wait:
    """A task that waits for an owner of a cell, and who owned it then."""

    task: Any
    cell: Cell
    present: str


class PendingOwnerCalls:
    """Ends calls to owners that fell silent or own the cell no more.

    Explanation
    -----------
    An ask may wait in the owner's queue for long, so the time without a
    reply says nothing. An owner that was not heard from lately is asked for
    a sign of life, once for all the asks that wait for it. Asks that wait at
    a former owner are moved, since it cannot know what the new one grants.

    Parameters
    ----------
    state
        State of the daemon.
    links
        Links to the owners.
    owners
        Says who owns a cell.
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
        self._waits: dict[str, set[_Wait]] = {}

    @contextlib.contextmanager
    def watched(self, owner: str, cell: Cell) -> Iterator[None]:
        """End the enclosed call if the owner falls silent or changes.

        Raises
        ------
        PeerUnreachable
            If it falls silent.
        OwnerChanged
            If another daemon is asked first now.
        """
        present = self._owners.current_owner(cell)
        wait = _Wait(eventlet.getcurrent(), cell, present)
        waits = self._waits.setdefault(owner, set())
        waits.add(wait)
        try:
            yield
        except PeerUnreachable:
            self._owners.suspect(owner)
            raise
        finally:
            waits.discard(wait)

    def check(self) -> None:
        """Look for owners that fell silent or changed; call periodically."""
        heard = frozenset(self._state.membership.liveness.alive(_HEARD_S))
        heard |= {LOCAL_DISPATCHER, self._state.settings.name}
        for owner, waits in tuple(self._waits.items()):
            if waits and owner not in heard:
                eventlet.spawn_n(self._ping, owner)
            self._move(owner, tuple(waits))

    def _move(self, owner: str, waits: Iterable[_Wait]) -> None:
        present = {
            wait.cell: self._owners.current_owner(wait.cell) for wait in waits
        }
        for wait in waits:
            if present[wait.cell] not in {wait.present, owner}:
                self._end(owner, wait, OwnerChanged())

    def _ping(self, owner: str) -> None:
        query = ConfigurationQuery(self._state.version)
        waits = tuple(self._waits[owner])
        try:
            self._links.call(owner, query, _PING_TIMEOUT_S)
        except PeerUnreachable as error:
            for wait in waits:
                self._end(owner, wait, error)

    def _end(self, owner: str, wait: _Wait, error: Exception) -> None:
        # Other tasks run during each kill.
        if wait in self._waits[owner]:
            eventlet.kill(wait.task, error)
