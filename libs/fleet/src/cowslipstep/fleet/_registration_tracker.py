"""Detects whether many runners are registering at present."""

from __future__ import annotations

import itertools

from cowslipstep.fleet._decisions import FleetView

# Runners that are started together register within this time of each other.
_REGISTRATION_WINDOW_S = 1.5
# If no more than this part of all runners registered within the window, these
# are single ones that return. With more of them the planner forms groups only
# of the models with the highest priority, so that large groups find enough free
# runners.
_MAX_RECENT_SHARE = 0.1


class RegistrationTracker:
    """Tracks which runners have registered, and when."""

    def __init__(self) -> None:
        self._known_names: frozenset[str] = frozenset()
        self._registration_times_s: list[float] = []

    def have_settled(self, view: FleetView) -> bool:
        """Record new runners; return whether few have registered recently."""
        names = frozenset(view.runners)
        added = len(names - self._known_names)
        self._known_names = names
        self._registration_times_s = [
            registered_s
            for registered_s in self._registration_times_s
            if view.now_s - registered_s < _REGISTRATION_WINDOW_S
        ]
        self._registration_times_s.extend(itertools.repeat(view.now_s, added))
        return len(self._registration_times_s) <= _MAX_RECENT_SHARE * len(names)
