"""Owners of cells, chosen by rendezvous hashing of the live daemons."""

from __future__ import annotations

import time
from collections.abc import Iterator

from cowslipstep.daemon._state import DaemonState
from cowslipstep.model import Cell
from cowslipstep.routing import OwnerHistory, rendezvous_order

LOCAL_DISPATCHER = ''
_SUSPICION_PERIOD_S = 3
_MAX_CANDIDATE_OWNERS = 2


class Owners:
    """Finds the present and the former owner of a cell.

    Parameters
    ----------
    state
        State of the daemon.
    """

    def __init__(self, state: DaemonState) -> None:
        self._state = state
        self._suspected_until_s: dict[str, float] = {}
        self._history: OwnerHistory[str] = OwnerHistory(time.monotonic)

    def candidates(self, cell: Cell) -> Iterator[str]:
        """Yield the daemons to request a slot from, in this order.

        First the owner, then the next daemon by hash, and at last the
        dispatcher that serves this daemon only. Suspected ones are left out.
        """
        owners = rendezvous_order(str(cell), self._state.live_daemons)
        unsuspected = [
            owner for owner in owners if not self._is_suspected(owner)
        ]
        yield from unsuspected[:_MAX_CANDIDATE_OWNERS]
        yield LOCAL_DISPATCHER

    def current_owner(self, cell: Cell) -> str:
        """Return the first candidate and record it as the owner."""
        current = next(self.candidates(cell))
        self._history.record_owner(cell, current)
        return current

    def renewal_recipients(self, cell: Cell) -> set[str]:
        """Return the owners that are sent renewals: present and former one.

        The former one is left out if it is not alive or is suspected.
        """
        recipients = {self.current_owner(cell)}
        former = self._history.former_owner(cell)
        if former in self._state.live_daemons and not self._is_suspected(
            former
        ):
            recipients.add(former)
        return recipients

    def suspect(self, owner: str) -> None:
        """Leave out an unreachable owner from the candidates for a while."""
        self._suspected_until_s[owner] = time.monotonic() + _SUSPICION_PERIOD_S

    def _is_suspected(self, owner: str) -> bool:
        return self._suspected_until_s.get(owner, 0) > time.monotonic()
