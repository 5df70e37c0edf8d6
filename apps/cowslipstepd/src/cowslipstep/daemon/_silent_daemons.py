"""Entries of daemons that were not heard for long."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator

from cowslipstep.model import DaemonEntry
from cowslipstep.peers import LivenessTable

SILENT_AFTER_S = 600


class SilentDaemons:
    """Tells which entries are of daemons that are gone.

    A daemon counts as silent since it was last heard, or since its entry
    was first seen. One that lives and is cut off enters itself again.

    Parameters
    ----------
    liveness
        Last signs of life.
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

    def look(self, entries: Iterable[DaemonEntry]) -> None:
        """Note the entries that there are now."""
        now_s = self._clock()
        self._first_seen_s = {
            entry: self._first_seen_s.get(entry, now_s) for entry in entries
        }

    def find(self) -> Iterator[DaemonEntry]:
        """Yield the noted entries whose daemons are silent for too long."""
        now_s = self._clock()
        for entry, seen_s in self._first_seen_s.items():
            silent_s = min(now_s - seen_s, self._liveness.age_s(entry.name))
            if silent_s > SILENT_AFTER_S:
                yield entry
