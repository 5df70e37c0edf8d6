"""Configuration in force: watched at the platform, filled in by peers."""

from __future__ import annotations

import eventlet
from loguru import logger

from cowslipstep.daemon._state import DaemonState
from cowslipstep.model import (
    ConfigurationCopy,
    ConfigurationQuery,
    VersionedConfiguration,
)
from cowslipstep.platform import ObjectKey, PlatformUnavailable
from cowslipstep.settings import parse_configuration

CONFIGURATION_KEY = ObjectKey('configuration', 'fleet')
_WATCH_S = 30
_RETRY_DELAY_S = 0.5


class ConfigurationFeed:
    """Applies configurations, always a newer one after an older one.

    Parameters
    ----------
    state
        State of the daemon.
    """

    def __init__(self, state: DaemonState) -> None:
        self._state = state

    def watch(self) -> None:
        """Wait for a change at the platform and apply it."""
        try:
            stored = self._state.platform.watch(
                CONFIGURATION_KEY,
                self._state.version,
                _WATCH_S,
            )
        except PlatformUnavailable:
            eventlet.sleep(_RETRY_DELAY_S)
            return
        if stored is not None:
            self.apply(stored.version, stored.body)

    def apply(self, version: int, document: str) -> None:
        """Put a configuration in force unless it is older."""
        if version <= self._state.version:
            return
        try:
            configuration = parse_configuration(document)
        except ExceptionGroup as group:
            logger.bind(version=version).error(
                'configuration refused: {}',
                [str(problem) for problem in group.exceptions],
            )
            return
        self._state.versioned = VersionedConfiguration(version, configuration)
        self._state.document = document
        logger.bind(version=version).info('configuration in force')

    def answer(self, query: ConfigurationQuery) -> ConfigurationCopy:
        """Answer a peer that asks for a newer configuration."""
        if query.known_version >= self._state.version:
            return ConfigurationCopy(self._state.version, '')
        return ConfigurationCopy(self._state.version, self._state.document)
