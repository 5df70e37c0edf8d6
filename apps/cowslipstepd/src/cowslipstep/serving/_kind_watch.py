"""One task that follows all objects of a kind."""

from __future__ import annotations

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
)

# Keep-alive probes find a silent connection; a store that takes calls and
# never answers is only found at the end of a watch.
WATCH_TIMEOUT_S = 5
# Where a peer would tell of a store that is silent; the store's own limit is
# 30 seconds.
LONG_WATCH_TIMEOUT_S = 25
_RETRY_DELAY_S = 0.3
# Between two looks whether a relay still tells of the kind.
_RELAYED_POLL_S = 0.3


class KindObserver(Protocol):
    """Takes what a watch tells."""

    def replace(self, page: ObjectPage) -> None:
        """Take all objects of the kind."""

    def apply(self, changes: KindChanges) -> None:
        """Take changes of some of them."""

    def on_outage(self) -> None:
        """Note that the platform cannot be reached."""


@frozen
class WatchSchedule:
    """When the platform is asked.

    Parameters
    ----------
    pause_s
        Returns the wait between two watches, so that changes come several
        at once.
    is_fed
        Whether a peer tells of changes, so that no watch is needed.
    start_s
        Wait before the first list.
    watch_s
        Returns how long a watch may wait for a change.
    """

    interval_s: Callable[[], float]
    is_relayed: Callable[[], bool]
    start_delay_s: float = 0
    timeout_s: Callable[[], float] = lambda: WATCH_TIMEOUT_S


class KindWatch:
    """Follows a kind of objects; lists it again when changes were missed.

    Parameters
    ----------
    client
        Client of the platform.
    kind
        Kind of objects.
    follower
        Is told of objects and changes.
    pace
        When the platform is asked.
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
        """Follow until the task is ended."""
        eventlet.sleep(self._schedule.start_delay_s)
        while True:
            while self._listed and self._schedule.is_relayed():
                eventlet.sleep(_RELAYED_POLL_S)
            try:
                self._watch()
            except HistoryGone:
                logger.info('history of {} is gone, listing again', self._kind)
            except PlatformUnavailable as error:
                self._start_outage(error)
                eventlet.sleep(_RETRY_DELAY_S)

    def _watch(self) -> None:
        # The watch from its revision tells what a stale list misses.
        page = self._client.list_kind(self._kind, stale=not self._listed)
        self._listed = True
        self._end_outage()
        self._observer.replace(page)
        revision = page.revision
        while True:
            eventlet.sleep(self._schedule.interval_s())
            if self._schedule.is_relayed():
                return
            changes = self._client.watch_kind(
                self._kind,
                revision,
                self._schedule.timeout_s(),
            )
            self._observer.apply(changes)
            revision = changes.revision

    def _start_outage(self, error: PlatformUnavailable) -> None:
        if self._in_outage:
            return
        self._in_outage = True
        self._observer.on_outage()
        logger.warning('lost the platform for {}: {}', self._kind, error)

    def _end_outage(self) -> None:
        if self._in_outage:
            self._in_outage = False
            logger.info('regained the platform for {}', self._kind)
