"""How calls of the object API are written and their answers are read."""

from __future__ import annotations

from typing import Any, Protocol

from attrs import frozen

from cowslipstep.model import MayHaveRun, NotRun
from cowslipstep.platform._calls import PlatformCall
from cowslipstep.platform._objects import ObjectKey, StoredObject


@frozen
class ObjectPage:
    """A part of the objects of a kind.

    ``next_name`` is where the next part begins, empty for none;
    ``revision`` is that of the whole store when the page was read.
    """

    stored: tuple[StoredObject, ...]
    next_name: str
    revision: int


@frozen
class ObjectChange:
    """An object that was written, or removed."""

    stored: StoredObject
    removed: bool


@frozen
class KindChanges:
    """Changes of the objects of a kind, up to ``revision`` of the store."""

    changes: tuple[ObjectChange, ...]
    revision: int


class StoreCalls(Protocol):
    """Writes the calls of an object API; sends none."""

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
        """Return the call that lists objects behind a name.

        A stale answer may be seconds old and costs the store less.
        """

    def watch(
        self,
        kind: str,
        revision: int,
        wait_s: float,
    ) -> PlatformCall:
        """Return the call that waits for changes behind a revision."""


class StoreResponses(Protocol):
    """Reads the answers of an object API."""

    def stored(self, key: ObjectKey, document: Any) -> StoredObject:
        """Read an object."""

    def page(self, kind: str, document: Any) -> ObjectPage:
        """Read a part of a list."""

    def changes(self, kind: str, document: Any) -> KindChanges:
        """Read changes from the answer to a watch."""

    def refusal(self, status: int) -> NotRun | MayHaveRun:
        """Return what an error status says of a change."""


@frozen
class StoreDialect:
    """One kind of object API: how it is called and how it answers."""

    calls: StoreCalls
    answers: StoreResponses
