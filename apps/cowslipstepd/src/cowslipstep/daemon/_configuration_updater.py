"""Replacement of the configuration in force by newer versions."""

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
    """Applies configurations whose version is newer than all seen before.

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
        """Decides when the newest known version is in force."""
        return self._confirmation

    @property
    def newest_seen_version(self) -> int:
        """Newest version seen, applied or refused; zero for none."""
        return max(self._state.version, self._refused_version)

    def apply(self, version: int, document: str) -> None:
        """Apply a configuration unless it is invalid or not newer.

        The version of an invalid one is remembered, so that it is not
        parsed again each time that a peer or the platform sends it.
        """
        if not self.is_newer(version):
            return
        configuration = _parse_or_log(version, document)
        if configuration is None:
            self._refused_version = version
            return
        self._state.versioned = VersionedConfiguration(version, configuration)
        self._state.document = document
        logger.bind(version=version).info('configuration in force')

    def is_newer(self, version: int) -> bool:
        """Whether a version is newer than all versions seen."""
        return version > self.newest_seen_version

    def copy_for(self, known_version: int) -> ConfigurationCopy:
        """Return the configuration in force, for a peer.

        The text is left empty if the peer has this version already.
        """
        if known_version >= self._state.version:
            return ConfigurationCopy(self._state.version, '')
        return ConfigurationCopy(self._state.version, self._state.document)


def _parse_or_log(version: int, document: str) -> Configuration | None:
    try:
        return parse_configuration(document)
    except ExceptionGroup as group:
        logger.bind(version=version).error(
            'configuration refused, the version before stays in force: {}',
            [str(problem) for problem in group.exceptions],
        )
    return None
