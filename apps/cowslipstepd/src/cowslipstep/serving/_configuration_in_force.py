"""The configuration in force, which is never replaced by an older one."""

from __future__ import annotations

import random
from collections.abc import Callable

from loguru import logger

from cowslipstep.fleet import ServingConfiguration
from cowslipstep.model import DocumentError
from cowslipstep.platform import (
    KindChanges,
    ObjectKey,
    ObjectPage,
    StoredObject,
)
from cowslipstep.routing import RouteTable

_NO_VERSION = 0


class ConfigurationInForce:
    """Holds the newest version received from the platform or a peer.

    Parameters
    ----------
    decode
        Decodes a document; raises ``DocumentError`` if it cannot.
    """

    def __init__(
        self,
        decode: Callable[[str], ServingConfiguration],
    ) -> None:
        self._decode = decode
        self._table: RouteTable | None = None
        self._document = ''

    @property
    def table(self) -> RouteTable | None:
        """Routes of the version in force, if one is known."""
        return self._table

    @property
    def version(self) -> int:
        """Version in force; zero for none."""
        if self._table is None:
            return _NO_VERSION
        return self._table.configuration.version

    @property
    def document(self) -> str:
        """Text of the version in force, for peers that lag."""
        return self._document

    def update(self, document: str) -> None:
        """Put a document in force if it is valid and its version newer.

        An invalid document is logged and ignored.
        """
        try:
            configuration = self._decode(document)
        except DocumentError as error:
            logger.warning('configuration ignored, invalid document: {}', error)
            return
        if configuration.version <= self.version:
            return
        self._table = RouteTable(configuration, random.Random())
        self._document = document
        logger.bind(
            version=configuration.version,
            characters=len(document),
        ).info('configuration in force')


class ConfigurationObserver:
    """Updates the configuration in force from the watch of its kind.

    Parameters
    ----------
    in_force
        Holds the configuration in force.
    key
        Key of the configuration in the store; others are ignored.
    """

    def __init__(self, in_force: ConfigurationInForce, key: ObjectKey) -> None:
        self._in_force = in_force
        self._key = key

    def replace(self, page: ObjectPage) -> None:
        """Update from a full list of the kind."""
        for stored in page.stored_objects:
            self._update(stored)

    def apply(self, changes: KindChanges) -> None:
        """Update from changes; a removed document stays in force."""
        for change in changes.changes:
            if not change.removed:
                self._update(change.stored_object)

    def on_outage(self) -> None:
        """Keep the document in force during an outage of the platform."""

    def _update(self, stored: StoredObject) -> None:
        if stored.key == self._key:
            self._in_force.update(stored.body)
