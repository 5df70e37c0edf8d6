"""Owners of cells: who they are, and who must know of grants."""

from __future__ import annotations

import time
from collections.abc import Iterator

from cowslipstep.daemon._state import DaemonState
from cowslipstep.model import Cell
from cowslipstep.routing import OwnerHistory, rendezvous_order

LOCAL = ''
_SHUNNED_S = 3
_MAX_OWNERS = 2


class Owners:
    """Knows the owners of cells, from the live daemons.

    Parameters
    ----------
    state
        State of the daemon.
    """

    def __init__(self, state: DaemonState) -> None:
        self._state = state
        self._shunned_until_s: dict[str, float] = {}
        self._history: OwnerHistory[str] = OwnerHistory(time.monotonic)

    def candidates(self, cell: Cell) -> Iterator[str]:
        """Yield the owner, the next one by hash, then this daemon alone."""
        owners = rendezvous_order(str(cell), self._state.live_daemons)
        answering = [owner for owner in owners if not self._shunned(owner)]
        yield from answering[:_MAX_OWNERS]
        yield LOCAL

    def present(self, cell: Cell) -> str:
        """Return the daemon that is asked first."""
        present = next(self.candidates(cell))
        self._history.record_owner(cell, present)
        return present

    def to_tell(self, cell: Cell) -> set[str]:
        """Return who must know of grants: the owner and the one before it."""
        told = {self.present(cell)}
        former = self._history.former_owner(cell)
        if former in self._state.live_daemons and not self._shunned(former):
            told.add(former)
        return told

    def shun(self, owner: str) -> None:
        """Ask others for a while instead of one that fell silent."""
        self._shunned_until_s[owner] = time.monotonic() + _SHUNNED_S

    def _shunned(self, owner: str) -> bool:
        return self._shunned_until_s.get(owner, 0) > time.monotonic()
