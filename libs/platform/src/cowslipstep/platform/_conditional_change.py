"""Conditional changes whose body contains the id of their attempt."""

from __future__ import annotations

from typing import Protocol

from attrs import field, frozen, validators

from cowslipstep.platform._objects import (
    ObjectKey,
    PlatformUnavailable,
    StoredObject,
)

_NO_VERSION = 0


class ChangeOutcomeUnknown(PlatformUnavailable):
    """A response was lost, and the object holds another change by now.

    This change either took effect and was overwritten, or never took effect.
    """


class ObjectCalls(Protocol):
    """The calls that a verified change sends."""

    def read(self, key: ObjectKey) -> StoredObject:
        """Read one object."""

    def create(self, key: ObjectKey, body: str) -> int:
        """Create an object."""

    def update(self, key: ObjectKey, version: int, body: str) -> int:
        """Replace an object."""


@frozen
class ConditionalChange:
    """A change of an object that must still have a certain version.

    Parameters
    ----------
    key
        The object.
    version
        Version that it must have; zero creates it.
    body
        New body, which contains ``attempt_id``.
    attempt_id
        Id that no other change has.

    Raises
    ------
    ValueError
        If the body does not contain the id of the attempt.
    """

    key: ObjectKey
    version: int
    body: str
    attempt_id: str = field(validator=validators.min_len(1))

    def __attrs_post_init__(self) -> None:
        if self.attempt_id not in self.body:
            raise ValueError('the body does not contain the attempt id')

    def is_contained_in(self, stored: StoredObject) -> bool:
        """Whether the object as read contains this change."""
        return self.attempt_id in stored.body


def send_change(calls: ObjectCalls, change: ConditionalChange) -> int:
    """Send a change once and return the new version."""
    if change.version == _NO_VERSION:
        return calls.create(change.key, change.body)
    return calls.update(change.key, change.version, change.body)
