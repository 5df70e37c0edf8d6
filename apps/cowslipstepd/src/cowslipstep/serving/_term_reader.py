"""What a controller knows of the runners before its first decision.

All that earlier controllers have done and seen was at the store when the lease
was won, at the position that is the term. Entries that are read up to there
show each group that another controller may have opened: it opened none before
it had read that all its members were ready. A list that may be stale, or the
copy of a peer, can be older, and show members of an open group as free.
"""

from __future__ import annotations

import math

import eventlet
from eventlet.greenthread import GreenThread
from loguru import logger

from cowslipstep.platform import HistoryGone, PlatformUnavailable
from cowslipstep.serving._clocks import boot_time_s
from cowslipstep.serving._runner_observer import RunnerObserver
from cowslipstep.serving._state import ServingState

_RETRY_DELAY_S = 0.3
# Far shorter than a lease.
_MAX_WAIT_S = 0.1


class TermReader:
    """Reads the entries of the runners up to the beginning of each term.

    Parameters
    ----------
    state
        State of the daemon.
    """

    def __init__(self, state: ServingState) -> None:
        self._state = state
        self._registration_s = state.settings.bounds.registration_s
        self._observer = RunnerObserver(
            state.runner_entries, self._registration_s
        )
        self._reading: GreenThread | None = None
        self._logged_term = 0
        self._settled_at_s = -math.inf
        state.platform.eras.observers.append(self._wait_for_entries)

    def has_read(self, term: int) -> bool:
        """Return whether all is known that was stored when a term began.

        If not, it is read by a task of its own, for which this one waits a
        moment only, so that the lease is renewed meanwhile.
        """
        table = self._state.runner_table
        if table.revision < term:
            self._wait_for_reading(term)
        if table.revision < term or boot_time_s() < self._settled_at_s:
            return False
        if term != self._logged_term:
            self._logged_term = term
            logger.bind(term=term, runners=table.revision).info(
                'runners known as of the beginning of the term'
            )
        return True

    def _wait_for_entries(self, _era: int) -> None:
        """Wait until the runners have written their entries again.

        The store came back from an older copy: entries may be older than the
        groups that runners are in.
        """
        self._settled_at_s = boot_time_s() + self._registration_s

    def _wait_for_reading(self, term: int) -> None:
        if self._reading is None or self._reading.dead:
            self._reading = eventlet.spawn(self._read, term)
        with eventlet.Timeout(_MAX_WAIT_S, False):
            self._reading.wait()

    def _read(self, term: int) -> None:
        try:
            self._catch_up(term)
        except PlatformUnavailable as error:
            logger.bind(term=term).info(
                'runners not read for a term, retrying: {}', error
            )
            eventlet.sleep(_RETRY_DELAY_S)

    def _catch_up(self, term: int) -> None:
        """Read the changes since the last read, or all if they are gone."""
        table = self._state.runner_table
        if table.was_read:
            self._read_changes()
        if table.revision < term:
            kind = self._state.dialects.runners_kind
            self._observer.replace(self._state.platform.list_kind(kind))

    def _read_changes(self) -> None:
        kind = self._state.dialects.runners_kind
        known = self._state.runner_table.revision
        try:
            # Without a wait, the response is as new as that to any other read.
            changes = self._state.platform.watch_kind(kind, known, 0)
        except HistoryGone:
            logger.info('changes of {} expired, listing again', kind)
        else:
            self._observer.apply(changes)
