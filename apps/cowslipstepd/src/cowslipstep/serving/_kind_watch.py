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
WATCH_S = 5
# Where a peer would tell of a store that is silent; the store's own limit is
# 30 seconds.
LONG_WATCH_S = 25
_RETRY_S = 0.3
# Between two looks whether a relay still tells of the kind.
_REST_S = 0.3


class Follower(Protocol):
    """Takes what a watch tells."""

    def replace(self, page: ObjectPage) -> None:
        """Take all objects of the kind."""

    def apply(self, changes: KindChanges) -> None:
        """Take changes of some of them."""

    def lose(self) -> None:
        """Note that the platform cannot be reached."""


@frozen
class WatchPace:
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

    pause_s: Callable[[], float]
    is_fed: Callable[[], bool]
    start_s: float = 0
    watch_s: Callable[[], float] = lambda: WATCH_S


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
        follower: Follower,
        pace: WatchPace,
    ) -> None:
        self._client = client
        self._kind = kind
        self._follower = follower
        self._pace = pace
        self._listed = False
        self._lost = False

    @property
    def kind(self) -> str:
        """Kind of objects."""
        return self._kind

    def run(self) -> None:
        """Follow until the task is ended."""
        eventlet.sleep(self._pace.start_s)
        while True:
            while self._listed and self._pace.is_fed():
                eventlet.sleep(_REST_S)
            try:
                self._follow()
            except HistoryGone:
                logger.info('history of {} is gone, listing again', self._kind)
            except PlatformUnavailable as error:
                self._lose(error)
                eventlet.sleep(_RETRY_S)

    def _follow(self) -> None:
        # The watch from its revision tells what a stale list misses.
        page = self._client.list_kind(self._kind, stale=not self._listed)
        self._listed = True
        self._regain()
        self._follower.replace(page)
        revision = page.revision
        while True:
            eventlet.sleep(self._pace.pause_s())
            if self._pace.is_fed():
                return
            changes = self._client.watch_kind(
                self._kind,
                revision,
                self._pace.watch_s(),
            )
            self._follower.apply(changes)
            revision = changes.revision

    def _lose(self, error: PlatformUnavailable) -> None:
        if self._lost:
            return
        self._lost = True
        self._follower.lose()
        logger.warning('lost the platform for {}: {}', self._kind, error)

    def _regain(self) -> None:
        if self._lost:
            self._lost = False
            logger.info('regained the platform for {}', self._kind)
