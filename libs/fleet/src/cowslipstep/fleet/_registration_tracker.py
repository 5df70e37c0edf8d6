"""Whether many runners still register."""

from __future__ import annotations

import itertools

from cowslipstep.fleet._decisions import FleetView

# Runners that start together register within this time of each other.
_REGISTRATION_WINDOW_S = 1.5
# Fewer new runners than this part of all are single ones that return; more
# are worth waiting for, so that large groups find enough free runners.
_MAX_SETTLED_SHARE = 0.1


class RegistrationTracker:
    """Follows which runners are registered."""

    def __init__(self) -> None:
        self._known_names: frozenset[str] = frozenset()
        self._registration_times_s: list[float] = []

    def have_settled(self, view: FleetView) -> bool:
        """Whether few runners have registered lately."""
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
