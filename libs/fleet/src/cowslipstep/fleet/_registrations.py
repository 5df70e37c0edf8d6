"""Whether many runners still register."""

from __future__ import annotations

import itertools

from cowslipstep.fleet._decisions import FleetView

# Runners that start together register within this time of each other.
_TOGETHER_S = 1.5
# Fewer new runners than this part of all are single ones that return; more
# are worth waiting for, so that large groups find enough free runners.
_MANY = 0.1


class Registrations:
    """Follows which runners are registered."""

    def __init__(self) -> None:
        self._known: frozenset[str] = frozenset()
        self._registered_s: list[float] = []

    def are_settled(self, view: FleetView) -> bool:
        """Whether few runners have registered lately."""
        names = frozenset(view.runners)
        added = len(names - self._known)
        self._known = names
        self._registered_s = [
            registered_s
            for registered_s in self._registered_s
            if view.now_s - registered_s < _TOGETHER_S
        ]
        self._registered_s.extend(itertools.repeat(view.now_s, added))
        return len(self._registered_s) <= _MANY * len(names)
