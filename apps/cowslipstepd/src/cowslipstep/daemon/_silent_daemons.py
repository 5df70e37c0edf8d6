"""Directory entries of daemons without a heartbeat for long."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator

from cowslipstep.model import DaemonEntry
from cowslipstep.peers import LivenessTable

SILENT_AFTER_S = 600


class SilentDaemons:
    """Finds the entries of daemons that are probably gone.

    The silence of a daemon begins at its last heartbeat, but not before its
    entry was first seen. A daemon that runs but was unreachable lists itself
    again at its next refresh of the directory.

    Parameters
    ----------
    liveness
        Age of the last heartbeat of each daemon.
    clock
        Monotonic clock, seconds.
    """

    def __init__(
        self,
        liveness: LivenessTable,
        clock: Callable[[], float],
    ) -> None:
        self._liveness = liveness
        self._clock = clock
        self._first_seen_s: dict[DaemonEntry, float] = {}

    def track(self, entries: Iterable[DaemonEntry]) -> None:
        """Remember when each of the present entries was first seen."""
        now_s = self._clock()
        self._first_seen_s = {
            entry: self._first_seen_s.get(entry, now_s) for entry in entries
        }

    def find(self) -> Iterator[DaemonEntry]:
        """Yield the tracked entries whose daemons are silent for too long."""
        now_s = self._clock()
        for entry, first_seen_s in self._first_seen_s.items():
            silent_s = min(
                now_s - first_seen_s, self._liveness.age_s(entry.name)
            )
            if silent_s > SILENT_AFTER_S:
                yield entry
