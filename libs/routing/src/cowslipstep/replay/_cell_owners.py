"""Dispatchers that own a modelled cell, before and after a transition."""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence

from attrs import frozen

from cowslipstep.replay._baselines import FifoDispatcher
from cowslipstep.routing import Clock, Dispatcher, PrefixMap

LEARNING_PERIOD_S = 1.5
_ENTRY_DAEMON_HALVES = 2

AnyDispatcher = Dispatcher | FifoDispatcher
DispatcherFactory = Callable[[float, PrefixMap], AnyDispatcher]
PrefixLoader = Callable[[PrefixMap], None]


@frozen
class OwnerTransition:
    """Change of the owner of each cell.

    From ``start_s`` on, half of the entry daemons send slot requests to the
    new owner; from ``end_s`` on, all of them do.
    """

    start_s: float
    end_s: float


class CellOwners:
    """Owners of a cell as seen by the entry daemons.

    Parameters
    ----------
    clock
        Clock of the replay.
    make_dispatcher
        Factory of a dispatcher; its first argument is the time in seconds for
        which the dispatcher learns existing grants from renewals.
    transition
        Change of the owner; ``None`` if it never changes.

    Attributes
    ----------
    load_prefixes
        Fills the prefix map of the new owner with the cached prefixes.
    """

    def __init__(
        self,
        clock: Clock,
        make_dispatcher: DispatcherFactory,
        transition: OwnerTransition | None = None,
    ) -> None:
        self._clock = clock
        self._make_dispatcher = make_dispatcher
        self._transition = transition
        self._owners = [make_dispatcher(0, PrefixMap())]
        self.load_prefixes: PrefixLoader = _load_no_prefixes

    @property
    def created(self) -> Sequence[AnyDispatcher]:
        """Owners that were created so far."""
        return self._owners

    def current_owner(self, entry_number: int) -> AnyDispatcher:
        """Return the owner to which an entry daemon sends slot requests now.

        The new owner is created when the first daemon changes to it.
        """
        if not self._uses_new_owner(entry_number):
            return self._owners[0]
        if len(self._owners) == 1:
            prefixes = PrefixMap()
            self.load_prefixes(prefixes)
            self._owners.append(
                self._make_dispatcher(LEARNING_PERIOD_S, prefixes)
            )
        return self._owners[1]

    def next_change_s(self) -> float:
        """Return when entry daemons next change the owner, or infinity."""
        transition = self._transition
        now_s = self._clock()
        changes = (
            () if transition is None else (transition.start_s, transition.end_s)
        )
        return min((at_s for at_s in changes if at_s > now_s), default=math.inf)

    def _uses_new_owner(self, entry_number: int) -> bool:
        transition = self._transition
        now_s = self._clock()
        if transition is None or now_s < transition.start_s:
            return False
        return (
            now_s >= transition.end_s
            or entry_number % _ENTRY_DAEMON_HALVES == 1
        )


def _load_no_prefixes(prefixes: PrefixMap) -> None:
    """Leave the prefix map of a new owner empty."""
