"""Interface to an object API: how its calls and responses are encoded."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, Protocol

from attrs import frozen

from cowslipstep.model import MayHaveRun, NotRun
from cowslipstep.platform._calls import PlatformCall
from cowslipstep.platform._objects import ObjectKey, StoredObject


@frozen
class ObjectPage:
    """A page of the list of all objects of a kind.

    The next page lists the objects after the name ``continue_after``, which
    is empty on the last page. ``revision`` is the revision of the store at
    which the page was read; the client counts it as a position.
    """

    stored_objects: tuple[StoredObject, ...]
    continue_after: str
    revision: int


@frozen
class ObjectChange:
    """An object that was written or removed."""

    stored_object: StoredObject
    removed: bool


@frozen
class KindChanges:
    """Changes of the objects of a kind up to a revision of the store."""

    changes: tuple[ObjectChange, ...]
    revision: int


class StoreCalls(Protocol):
    """Builds the calls of an object API; sends none."""

    def create(self, key: ObjectKey, body: str) -> PlatformCall:
        """Return the call that creates an object."""

    def update(self, key: ObjectKey, version: int, body: str) -> PlatformCall:
        """Return the call that replaces an object of that version."""

    def delete(self, key: ObjectKey, version: int) -> PlatformCall:
        """Return the call that deletes an object of that version."""

    def read(self, key: ObjectKey) -> PlatformCall:
        """Return the call that reads an object."""

    def read_page(
        self,
        kind: str,
        after: str,
        *,
        stale: bool = False,
    ) -> PlatformCall:
        """Return the call that lists a page of objects after a name.

        A stale response may be seconds old and costs the store less.
        """

    def watch(
        self,
        kind: str,
        revision: int,
        wait_s: float,
    ) -> PlatformCall:
        """Return the call that waits for changes after a revision."""


class StoreResponses(Protocol):
    """Parses the responses of an object API."""

    def parse_object(self, key: ObjectKey, document: Any) -> StoredObject:
        """Parse an object."""

    def parse_page(self, kind: str, document: Any) -> ObjectPage:
        """Parse a page of a list."""

    def parse_changes(self, kind: str, document: Any) -> KindChanges:
        """Parse the changes in the response to a watch."""

    def era(self, headers: Mapping[str, str]) -> int | None:
        """Return the era of the store that a response names, if it does.

        The names of headers are found in any case.
        """

    def verdict_of_status(self, status: int) -> NotRun | MayHaveRun:
        """Return whether a change may have taken effect, by error status."""


@frozen
class StoreDialect:
    """Encoding of the calls and responses of one object API."""

    calls: StoreCalls
    responses: StoreResponses
