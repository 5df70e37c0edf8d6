"""The configuration kept at the platform."""

from __future__ import annotations

from attrs import frozen

from cowslipstep.cli._exits import NotWell
from cowslipstep.model import Configuration
from cowslipstep.platform import ObjectKey, ObjectMissing, PlatformClient
from cowslipstep.settings import parse_configuration

_KEY = ObjectKey('configuration', 'fleet')
NO_VERSION = 0


@frozen
class StoredText:
    """Text of the configuration in force; version zero if there is none."""

    version: int
    text: str

    @property
    def configuration(self) -> Configuration | None:
        """What the text says, if there is any.

        Raises
        ------
        ExceptionGroup
            Holds one ``NotWell`` for each mistake in it.
        """
        if self.version == NO_VERSION:
            return None
        try:
            return parse_configuration(self.text)
        except ExceptionGroup as group:
            problems = [
                NotWell(
                    f'configuration in force, version {self.version}: {one}'
                )
                for one in group.exceptions
            ]
        raise ExceptionGroup('the configuration cannot be read', problems)


def read_stored(platform: PlatformClient) -> StoredText:
    """Read the configuration in force.

    Raises
    ------
    PlatformUnavailable
        If there was no answer.
    """
    try:
        stored = platform.read(_KEY)
    except ObjectMissing:
        return StoredText(NO_VERSION, '')
    return StoredText(stored.version, stored.body)


def require_configuration(platform: PlatformClient) -> Configuration:
    """Read the configuration in force, which must exist.

    Raises
    ------
    NotWell
        If none was submitted yet.
    """
    configuration = read_stored(platform).configuration
    if configuration is None:
        raise NotWell('no configuration was submitted yet')
    return configuration


def write_text(platform: PlatformClient, known_version: int, text: str) -> int:
    """Replace the configuration of a known version; return the new version.

    Raises
    ------
    VersionConflict
        If it has another version by now.
    PlatformUnavailable
        If there was no answer.
    """
    if known_version == NO_VERSION:
        return platform.create(_KEY, text)
    return platform.update(_KEY, known_version, text)
