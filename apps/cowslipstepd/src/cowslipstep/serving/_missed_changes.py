"""Doubts of watches that miss changes that peers report."""

from __future__ import annotations

import eventlet

from cowslipstep.model.loads import LoadReport, RunnersCopy
from cowslipstep.platform import WatchDoubt
from cowslipstep.serving._state import ServingState

# A watch that lags behind a peer for this long may hang: a working watch
# delivers a change within a third of this time.
STALLED_WATCH_S = 1


def follows_platform(state: ServingState) -> bool:
    """Return whether the watch of runners delivers their changes."""
    return not (
        state.runner_table.platform_lost or state.relay_role.relies_on_relay
    )


class MissedChanges:
    """Doubts the pending watches if they should have delivered a change.

    Parameters
    ----------
    state
        State of the daemon.
    """

    def __init__(self, state: ServingState) -> None:
        self._state = state
        self._checked_version = -1
        self._relay_silences: dict[str, int] = {}

    def note_report(self, report: LoadReport) -> None:
        """Compare what a peer reports with what the watches delivered."""
        if report.covers_all_daemons:
            self._note_silences(report.daemon, report.store_silences)
        self._check_later(report.configuration_version)

    def note_copy(self, copy: RunnersCopy) -> None:
        """Compare the entries of a peer, before they are applied."""
        known = self._state.runner_table.documents
        is_missed = any(
            known.get(entry.name) != entry.document for entry in copy.entries
        ) or not known.keys().isdisjoint(copy.removed)
        if is_missed and follows_platform(self._state):
            self._doubt(WatchDoubt.peer_is_ahead)

    def _note_silences(self, relay: str, silences: int) -> None:
        known = self._relay_silences.get(relay, silences)
        self._relay_silences = {relay: silences}
        if silences > known:
            self._doubt(WatchDoubt.relay_saw_silence)

    def _check_later(self, reported_version: int) -> None:
        """Check later whether the watch delivers a version that a peer has.

        The check needs no further report: the relay may be lost meanwhile.
        """
        version = self._state.configuration.version
        is_behind = reported_version > version
        if is_behind and version != self._checked_version:
            self._checked_version = version
            eventlet.spawn_after(STALLED_WATCH_S, self._check, version)

    def _check(self, version: int) -> None:
        self._checked_version = -1
        if self._state.configuration.version == version:
            self._doubt(WatchDoubt.peer_is_ahead)

    def _doubt(self, doubt: WatchDoubt) -> None:
        self._state.platform.doubts.doubt_pending(doubt)
