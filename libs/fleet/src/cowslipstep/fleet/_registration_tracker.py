"""Detects whether many runners are registering at present."""

from __future__ import annotations

import itertools

from cowslipstep.fleet._decisions import FleetView

# Runners that are started together register within this time of each other.
_REGISTRATION_WINDOW_S = 1.5
# A runner that was registered within this time returns, it is not a new one:
# its entry lapsed while it could not reach the store.
_RETURN_WINDOW_S = 30
# If no more than this part of all runners registered within the window, these
# are single ones that return. With more of them the planner forms groups only
# of the models with the highest priority, so that large groups find enough free
# runners.
_MAX_RECENT_SHARE = 0.1


class RegistrationTracker:
    """Tracks which runners have registered, and when.

    Members of groups are not new to the fleet, only to a planner that has just
    begun.
    """

    def __init__(self) -> None:
        self._seen_s: dict[str, float] = {}
        self._registration_times_s: list[float] = []

    def have_settled(self, view: FleetView) -> bool:
        """Record new runners; return whether few have registered recently."""
        self._seen_s = {
            name: seen_s
            for name, seen_s in self._seen_s.items()
            if view.now_s - seen_s < _RETURN_WINDOW_S
        }
        added = sum(
            runner.group_position is None
            for name, runner in view.runners.items()
            if name not in self._seen_s
        )
        self._seen_s.update(dict.fromkeys(view.runners, view.now_s))
        self._registration_times_s = [
            registered_s
            for registered_s in self._registration_times_s
            if view.now_s - registered_s < _REGISTRATION_WINDOW_S
        ]
        self._registration_times_s.extend(itertools.repeat(view.now_s, added))
        return len(self._registration_times_s) <= _MAX_RECENT_SHARE * len(
            view.runners
        )
