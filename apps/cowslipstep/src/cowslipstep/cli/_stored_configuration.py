"""The configuration object at the platform."""

from __future__ import annotations

from attrs import frozen

from cowslipstep.cli._errors import ProblemFound
from cowslipstep.model import Configuration
from cowslipstep.platform import ObjectKey, ObjectMissing, PlatformClient
from cowslipstep.settings import parse_configuration

_KEY = ObjectKey('configuration', 'fleet')
NO_VERSION = 0


@frozen
class StoredConfiguration:
    """Version and text of the configuration in force.

    The version is zero if there is none.
    """

    version: int
    text: str

    @property
    def configuration(self) -> Configuration | None:
        """The parsed text, or ``None`` if there is no configuration.

        Raises
        ------
        ExceptionGroup
            Holds one ``ProblemFound`` for each mistake in the text.
        """
        if self.version == NO_VERSION:
            return None
        try:
            return parse_configuration(self.text)
        except ExceptionGroup as group:
            problems = [
                ProblemFound(
                    f'configuration in force, version {self.version}: {one}'
                )
                for one in group.exceptions
            ]
        raise ExceptionGroup('the configuration cannot be read', problems)


def read_stored_configuration(platform: PlatformClient) -> StoredConfiguration:
    """Read the configuration in force.

    Raises
    ------
    PlatformUnavailable
        If the platform does not answer.
    """
    try:
        stored = platform.read(_KEY)
    except ObjectMissing:
        return StoredConfiguration(NO_VERSION, '')
    return StoredConfiguration(stored.version, stored.body)


def require_configuration(platform: PlatformClient) -> Configuration:
    """Read the configuration in force.

    Raises
    ------
    ProblemFound
        If none was submitted yet.
    """
    configuration = read_stored_configuration(platform).configuration
    if configuration is None:
        raise ProblemFound('no configuration was submitted yet')
    return configuration


def write_configuration(
    platform: PlatformClient, known_version: int, text: str
) -> int:
    """Replace the configuration if it still has ``known_version``.

    Returns the new version. If no version is known, creates it.

    Raises
    ------
    VersionConflict
        If the configuration has another version.
    PlatformUnavailable
        If the platform does not answer.
    """
    if known_version == NO_VERSION:
        return platform.create(_KEY, text)
    return platform.update(_KEY, known_version, text)
