"""Platform object that holds a status; only its own daemon writes it."""

from __future__ import annotations

from cowslipstep.daemon._expired_statuses import STATUS_KIND
from cowslipstep.platform import (
    ObjectKey,
    ObjectMissing,
    PlatformClient,
    VersionConflict,
)


class StatusObject:
    """Creates the object on the first write and replaces it on later ones.

    Parameters
    ----------
    platform
        Client of the platform.
    """

    def __init__(self, platform: PlatformClient) -> None:
        self._platform = platform
        self._versions: dict[str, int] = {}

    def write(self, name: str, body: str) -> None:
        """Write the object.

        Raises
        ------
        PlatformUnavailable
            If the platform did not respond.
        ObjectMissing
            If the object was deleted since the last write.
        """
        key = ObjectKey(STATUS_KIND, name)
        try:
            self._versions = {name: self._replace(key, body)}
        except (VersionConflict, ObjectMissing):
            # An earlier write took effect although its response was lost. If
            # the object was deleted, the read fails and the next write creates
            # it.
            self._versions = {}
            version = self._platform.read(key).version
            version = self._platform.update(key, version, body)
            self._versions = {name: version}

    def _replace(self, key: ObjectKey, body: str) -> int:
        known = self._versions.get(key.name)
        if known is None:
            return self._platform.create(key, body)
        return self._platform.update(key, known, body)
