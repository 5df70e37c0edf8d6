"""Watch of the configuration at the platform."""

from __future__ import annotations

import random

import eventlet

from cowslipstep.daemon._configuration_updater import ConfigurationUpdater
from cowslipstep.platform import (
    ObjectKey,
    ObjectMissing,
    PlatformClient,
    PlatformUnavailable,
    StoredObject,
)

CONFIGURATION_KEY = ObjectKey('configuration', 'fleet')
_WATCH_S = 30
_RETRY_DELAY_S = 0.5


class ConfigurationWatch:
    """Hands the platform's configurations to a feed.

    Parameters
    ----------
    platform
        Where operators submit configurations.
    feed
        Puts them in force.
    """

    def __init__(
        self,
        platform: PlatformClient,
        feed: ConfigurationUpdater,
    ) -> None:
        self._platform = platform
        self._feed = feed
        self._answered = False

    def run(self) -> None:
        """Read the configuration, then wait for changes without end."""
        while True:
            try:
                stored = self._find()
            except PlatformUnavailable:
                self._feed.confirmation.platform_failed()
                _pause()
                continue
            self._take(stored)

    def _find(self) -> StoredObject | None:
        # The first call is a plain read: its answer comes soon or not at all.
        if not self._answered:
            return self._read()
        return self._platform.watch(
            CONFIGURATION_KEY,
            self._feed.newest_seen,
            _WATCH_S,
        )

    def _read(self) -> StoredObject | None:
        try:
            return self._platform.read(CONFIGURATION_KEY)
        except ObjectMissing:
            return None

    def _take(self, stored: StoredObject | None) -> None:
        self._answered = True
        if stored is not None:
            fresh = self._feed.is_newer(stored.version)
            self._feed.apply(stored.version, stored.body)
            if not fresh:
                # An old version is answered at once, again and again.
                _pause()
        self._feed.confirmation.platform_answered()


def _pause() -> None:
    eventlet.sleep(_RETRY_DELAY_S * random.uniform(1, 2))
