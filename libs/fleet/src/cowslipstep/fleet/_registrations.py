"""Whether runners still register."""

from __future__ import annotations

from cowslipstep.fleet._decisions import FleetView

# Runners that start together register within this time of each other.
_SETTLED_S = 1.5


class Registrations:
    """Follows which runners are registered."""

    def __init__(self) -> None:
        self._known: frozenset[str] = frozenset()
        self._registered_s: float = -_SETTLED_S

    def are_settled(self, view: FleetView) -> bool:
        """Whether no runner has registered for a while."""
        names = frozenset(view.runners)
        if names - self._known:
            self._registered_s = view.now_s
        self._known = names
        return view.now_s - self._registered_s >= _SETTLED_S
