"""Watch of the configuration object at the platform."""

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
_WATCH_TIMEOUT_S = 30
_RETRY_DELAY_S = 0.5


class ConfigurationWatch:
    """Reads the configuration from the platform and watches it.

    Parameters
    ----------
    platform
        Client of the platform, where operators submit configurations.
    updater
        Applies the configurations.
    """

    def __init__(
        self,
        platform: PlatformClient,
        updater: ConfigurationUpdater,
    ) -> None:
        self._platform = platform
        self._updater = updater
        self._platform_has_answered = False

    def run(self) -> None:
        """Read the configuration, then watch it for changes, forever."""
        while True:
            try:
                stored = self._read_or_watch()
            except PlatformUnavailable:
                self._updater.confirmation.platform_failed()
                _sleep_before_retry()
                continue
            self._apply(stored)

    def _read_or_watch(self) -> StoredObject | None:
        # A watch answers only after a change or its timeout. The first call
        # is a plain read, so that a platform failure at start shows soon.
        if not self._platform_has_answered:
            return self._read()
        return self._platform.watch(
            CONFIGURATION_KEY,
            self._updater.newest_seen_version,
            _WATCH_TIMEOUT_S,
        )

    def _read(self) -> StoredObject | None:
        try:
            return self._platform.read(CONFIGURATION_KEY)
        except ObjectMissing:
            return None

    def _apply(self, stored: StoredObject | None) -> None:
        self._platform_has_answered = True
        if stored is not None:
            is_newer = self._updater.is_newer(stored.version)
            self._updater.apply(stored.version, stored.body)
            if not is_newer:
                # The platform may answer at once, again and again, with a
                # version that is not newer: wait before the next watch.
                _sleep_before_retry()
        self._updater.confirmation.platform_answered()


def _sleep_before_retry() -> None:
    eventlet.sleep(_RETRY_DELAY_S * random.uniform(1, 2))
