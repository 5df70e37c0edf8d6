"""Conditional changes that carry the id of their attempt."""

from __future__ import annotations

from typing import Protocol

from attrs import field, frozen, validators

from cowslipstep.platform._objects import (
    ObjectKey,
    PlatformUnavailable,
    StoredObject,
)

_NO_VERSION = 0


class ChangeOverwritten(PlatformUnavailable):
    """An answer was lost and the object has changed again since."""


class ObjectCalls(Protocol):
    """The calls that a proven change is made of."""

    def read(self, key: ObjectKey) -> StoredObject:
        """Read one object."""

    def create(self, key: ObjectKey, body: str) -> int:
        """Create an object."""

    def update(self, key: ObjectKey, version: int, body: str) -> int:
        """Replace an object."""


@frozen
class Change:
    """A conditional change that carries the id of its attempt.

    Raises
    ------
    ValueError
        If the body does not hold the attempt's id.
    """

    key: ObjectKey
    version: int
    body: str
    attempt_id: str = field(validator=validators.min_len(1))

    def __attrs_post_init__(self) -> None:
        if self.attempt_id not in self.body:
            raise ValueError('the body does not hold the attempt id')

    def made(self, stored: StoredObject) -> bool:
        """Whether the object as read holds this change."""
        return self.attempt_id in stored.body


def send_change(calls: ObjectCalls, change: Change) -> int:
    """Send a change once and return the new version."""
    if change.version == _NO_VERSION:
        return calls.create(change.key, change.body)
    return calls.update(change.key, change.version, change.body)
