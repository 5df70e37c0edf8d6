"""Task that watches all objects of a kind at the platform."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Protocol

import eventlet
from attrs import frozen
from loguru import logger

from cowslipstep.platform import (
    HistoryGone,
    KindChanges,
    ObjectPage,
    PlatformClient,
    PlatformUnavailable,
    WatchDoubt,
    WatchGivenUp,
)
from cowslipstep.serving._clocks import boot_time_s
from cowslipstep.serving._pending_watches import given_up_in_doubt

# Longest wait of a watch call. Keep-alive probes detect a dead connection; a
# store that accepts calls and never responds is detected only at this timeout.
WATCH_TIMEOUT_S = 5
# Longest wait while a relay reports versions: a newer one in its reports also
# reveals a silent store. The store's own limit is 30 seconds.
LONG_WATCH_TIMEOUT_S = 25
_RETRY_DELAY_S = 0.3
# Period of the check whether a relay still reports changes of the kind.
_RELAYED_POLL_PERIOD_S = 0.3


class KindObserver(Protocol):
    """Receives the objects and changes of a watched kind."""

    def replace(self, page: ObjectPage) -> None:
        """Replace the known objects by a full list of the kind."""

    def apply(self, changes: KindChanges) -> None:
        """Apply changes of some objects."""

    def on_outage(self) -> None:
        """Record that the platform cannot be reached."""


def _ignore(_asked_at_s: float) -> None:
    """Ignore until when all changes are known."""


def _no_doubt(_sent_at_s: float) -> None:
    """Return no doubt of a pending call."""


@frozen
class WatchSchedule:
    """When a watch calls the platform.

    Parameters
    ----------
    interval_s
        Returns the time between two watch calls, so that one call returns
        several changes.
    is_relayed
        Returns whether a relay reports changes, so that no watch is needed.
    start_delay_s
        Wait before the first list.
    timeout_s
        Returns how long a watch call may wait for a change.
    first_may_be_stale
        Whether the first list may be seconds old, which costs less.
    confirm
        Called with a moment before a call whose response was delivered: all
        earlier changes are known. Reading of a clock that does not stop while
        the host is suspended.
    doubt
        Returns why a watch call that was sent at that moment and is pending
        may never get a response, if it may not; it is then sent again.
    """

    interval_s: Callable[[], float]
    is_relayed: Callable[[], bool]
    start_delay_s: float = 0
    timeout_s: Callable[[], float] = lambda: WATCH_TIMEOUT_S
    first_may_be_stale: bool = True
    confirm: Callable[[float], None] = _ignore
    doubt: Callable[[float], WatchDoubt | None] = _no_doubt


class KindWatch:
    """Watches a kind of objects; lists it again if changes were missed.

    Parameters
    ----------
    client
        Client of the platform.
    kind
        Kind of objects.
    observer
        Receives objects and changes.
    schedule
        When the platform is called.
    """

    def __init__(
        self,
        client: PlatformClient,
        kind: str,
        observer: KindObserver,
        schedule: WatchSchedule,
    ) -> None:
        self._client = client
        self._kind = kind
        self._observer = observer
        self._schedule = schedule
        self._listed = False
        self._in_outage = False

    @property
    def kind(self) -> str:
        """Kind of objects."""
        return self._kind

    def run(self) -> None:
        """Watch until the task is ended."""
        eventlet.sleep(self._schedule.start_delay_s)
        while True:
            while self._listed and self._schedule.is_relayed():
                eventlet.sleep(_RELAYED_POLL_PERIOD_S)
            try:
                self._watch()
            except HistoryGone:
                logger.info(
                    'changes of {} expired at the platform, listing again',
                    self._kind,
                )
            except PlatformUnavailable as error:
                self._start_outage(error)
                eventlet.sleep(_RETRY_DELAY_S)

    def _watch(self) -> None:
        # The watch from the revision of a stale list returns the changes that
        # it misses.
        stale = self._schedule.first_may_be_stale and not self._listed
        asked_at_s = boot_time_s()
        page = self._client.list_kind(self._kind, stale=stale)
        self._listed = True
        self._end_outage()
        self._observer.replace(page)
        if not stale:
            self._schedule.confirm(asked_at_s)
        revision = page.revision
        pause_s = self._schedule.interval_s()
        while True:
            eventlet.sleep(pause_s)
            if self._schedule.is_relayed():
                return
            pause_s = self._schedule.interval_s()
            try:
                revision = self._watch_from(revision)
            except WatchGivenUp as doubt:
                pause_s = 0
                logger.info(
                    'watch of {} given up and sent again: {}', self._kind, doubt
                )

    def _watch_from(self, revision: int) -> int:
        """Apply the next changes; return the revision that they reach."""
        asked_at_s = boot_time_s()
        sent_at_s = time.monotonic()
        with given_up_in_doubt(lambda: self._schedule.doubt(sent_at_s)):
            changes = self._client.watch_kind(
                self._kind,
                revision,
                self._schedule.timeout_s(),
            )
        self._observer.apply(changes)
        self._schedule.confirm(asked_at_s)
        return changes.revision

    def _start_outage(self, error: PlatformUnavailable) -> None:
        if self._in_outage:
            return
        self._in_outage = True
        self._observer.on_outage()
        logger.warning(
            'platform unreachable, watch of {} retries: {}', self._kind, error
        )

    def _end_outage(self) -> None:
        if self._in_outage:
            self._in_outage = False
            logger.info('platform reachable again for {}', self._kind)
