"""Dispatchers that own a modelled cell, one or two at once."""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence

from attrs import frozen

from cowslipstep.replay._baselines import FifoDispatcher
from cowslipstep.routing import Clock, Dispatcher

LEARNING_S = 1.5
_PARTS = 2

AnyDispatcher = Dispatcher | FifoDispatcher
MakeDispatcher = Callable[[float], AnyDispatcher]


@frozen
class OwnerSplit:
    """A time in which every other entry daemon asks a second dispatcher.

    From its end on all of them do.
    """

    start_s: float
    end_s: float


class CellOwners:
    """Owners of a cell, as the entry daemons see them.

    Parameters
    ----------
    clock
        Clock of the replay.
    make
        Makes a dispatcher that learns for as many seconds.
    split
        When there are two; ``None`` for never.
    """

    def __init__(
        self,
        clock: Clock,
        make: MakeDispatcher,
        split: OwnerSplit | None = None,
    ) -> None:
        self._clock = clock
        self._make = make
        self._split = split
        self._owners = [make(0)]

    @property
    def all(self) -> Sequence[AnyDispatcher]:
        """Owners that were asked so far."""
        return self._owners

    def present(self, entry: int) -> AnyDispatcher:
        """Return the owner that an entry daemon asks now."""
        if not self._sees_second(entry):
            return self._owners[0]
        if len(self._owners) == 1:
            self._owners.append(self._make(LEARNING_S))
        return self._owners[1]

    def next_change_s(self) -> float:
        """Return when the view of an entry daemon changes next."""
        split = self._split
        now = self._clock()
        changes = () if split is None else (split.start_s, split.end_s)
        return min((at_s for at_s in changes if at_s > now), default=math.inf)

    def _sees_second(self, entry: int) -> bool:
        split = self._split
        now = self._clock()
        if split is None or now < split.start_s:
            return False
        return now >= split.end_s or entry % _PARTS == 1
