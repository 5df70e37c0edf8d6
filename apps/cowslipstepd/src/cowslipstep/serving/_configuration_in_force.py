"""The configuration in force, which is never replaced by an older one."""

from __future__ import annotations

import math
import random
from collections.abc import Callable

from attrs import define
from loguru import logger

from cowslipstep.fleet import ColdStart, ServingConfiguration
from cowslipstep.model import DocumentError
from cowslipstep.platform import (
    KindChanges,
    ObjectKey,
    ObjectPage,
    StoredObject,
)
from cowslipstep.routing import RouteTable

_NO_VERSION = 0


@define
class Freshness:
    """Up to when all versions of the configuration are known.

    Attributes
    ----------
    revision
        Revision of the platform up to which changes were delivered.
    confirmed_at_s
        Clock reading at which no newer version was stored, seconds; minus
        infinity if this is not known of any moment.
    is_decodable
        Whether the newest version could be decoded; while it could not,
        nothing is confirmed.
    """

    revision: int = 0
    confirmed_at_s: float = -math.inf
    is_decodable: bool = True

    def advance(self, revision: int) -> None:
        """Record that changes up to a revision were delivered."""
        self.revision = max(self.revision, revision)

    def confirm(self, asked_at_s: float) -> None:
        """Record that the platform had no newer version at that moment."""
        if self.is_decodable:
            self.confirmed_at_s = max(self.confirmed_at_s, asked_at_s)


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
        self._invalid_document = ''
        self._freshness = Freshness()

    @property
    def freshness(self) -> Freshness:
        """Up to when all versions are known."""
        return self._freshness

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
            self._ignore(document, error)
            return
        self._freshness.is_decodable = True
        if configuration.version <= self.version:
            return
        self._table = RouteTable(configuration, random.Random())
        self._document = document
        logger.bind(
            version=configuration.version,
            characters=len(document),
        ).info('configuration in force')

    def _ignore(self, document: str, error: DocumentError) -> None:
        self._freshness.is_decodable = False
        if document != self._invalid_document:
            self._invalid_document = document
            logger.warning('configuration ignored, invalid document: {}', error)


def cold_start(
    in_force: ConfigurationInForce, service: str
) -> ColdStart | None:
    """Return the limits on cold runners of a service, if it has any."""
    if in_force.table is None:
        return None
    configured = in_force.table.configuration.services.get(service)
    return configured.cold if configured else None


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
        self._in_force.freshness.advance(page.revision)
        for stored in page.stored_objects:
            self._update(stored)

    def apply(self, changes: KindChanges) -> None:
        """Update from changes; a removed document stays in force."""
        self._in_force.freshness.advance(changes.revision)
        for change in changes.changes:
            if not change.removed:
                self._update(change.stored_object)

    def on_outage(self) -> None:
        """Keep the document in force during an outage of the platform."""

    def _update(self, stored: StoredObject) -> None:
        if stored.key == self._key:
            self._in_force.update(stored.body)
