"""Detects whether many runners are registering at present."""

from __future__ import annotations

import itertools

from cowslipstep.fleet._decisions import FleetView

# Runners that are started together register within this time of each other.
_REGISTRATION_WINDOW_S = 1.5
# Up to this part of all runners may have registered within the window: these
# are single ones that return. With more of them the planner waits, so that
# large groups find enough free runners.
_MAX_SETTLED_SHARE = 0.1


class RegistrationTracker:
    """Tracks when runners registered."""

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
        return len(self._registration_times_s) <= _MAX_SETTLED_SHARE * len(
            names
        )
