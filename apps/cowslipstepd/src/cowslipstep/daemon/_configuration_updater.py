"""Configuration in force: always a newer one after an older one."""

from __future__ import annotations

from loguru import logger

from cowslipstep.daemon._confirmation import ConfigurationConfirmation
from cowslipstep.daemon._state import DaemonState
from cowslipstep.model import (
    Configuration,
    ConfigurationCopy,
    VersionedConfiguration,
)
from cowslipstep.settings import parse_configuration


class ConfigurationUpdater:
    """Applies configurations, always a newer one after an older one.

    Parameters
    ----------
    state
        State of the daemon.
    """

    def __init__(self, state: DaemonState) -> None:
        self._state = state
        self._refused_version = 0
        self._confirmation = ConfigurationConfirmation(state)

    @property
    def confirmation(self) -> ConfigurationConfirmation:
        """Whether the newest version known anywhere is in force."""
        return self._confirmation

    @property
    def newest_seen(self) -> int:
        """Newest version seen, in force or refused; zero for none."""
        return max(self._state.version, self._refused_version)

    def apply(self, version: int, document: str) -> None:
        """Put a configuration in force unless it is older or broken."""
        if not self.is_newer(version):
            return
        configuration = _parse(version, document)
        if configuration is None:
            self._refused_version = version
            return
        self._state.versioned = VersionedConfiguration(version, configuration)
        self._state.document = document
        logger.bind(version=version).info('configuration in force')

    def is_newer(self, version: int) -> bool:
        """Whether a version is newer than all that were seen."""
        return version > self.newest_seen

    def copy_for(self, known_version: int) -> ConfigurationCopy:
        """Return the configuration in force, for a peer that lags."""
        if known_version >= self._state.version:
            return ConfigurationCopy(self._state.version, '')
        return ConfigurationCopy(self._state.version, self._state.document)


def _parse(version: int, document: str) -> Configuration | None:
    try:
        return parse_configuration(document)
    except ExceptionGroup as group:
        logger.bind(version=version).error(
            'configuration refused: {}',
            [str(problem) for problem in group.exceptions],
        )
    return None
