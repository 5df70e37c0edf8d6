"""Objects of the platform's API and the errors of its calls."""

from __future__ import annotations

from attrs import frozen

from cowslipstep.model import CowslipstepError, MayHaveRun, NotRun


@frozen
class ObjectKey:
    """Kind and name of an object."""

    kind: str
    name: str

    def __str__(self) -> str:
        return f'{self.kind}/{self.name}'


@frozen
class StoredObject:
    """An object as read: its version grows with each change.

    ``body`` is the JSON text that was stored.
    """

    key: ObjectKey
    version: int
    body: str


class PlatformUnavailable(CowslipstepError):
    """A call got no usable answer.

    Parameters
    ----------
    verdict
        ``NotRun`` when the call did not reach the platform, ``MayHaveRun``
        when a change may have taken effect.
    message
        What was seen.
    """

    def __init__(self, verdict: NotRun | MayHaveRun, message: str) -> None:
        super().__init__(message)
        self._verdict = verdict

    @property
    def verdict(self) -> NotRun | MayHaveRun:
        """Whether the call may have taken effect."""
        return self._verdict


class VersionConflict(CowslipstepError):
    """A conditional update lost: the object has another version."""


class ObjectMissing(CowslipstepError):
    """There is no object of that kind and name."""


class HistoryGone(CowslipstepError):
    """The changes behind a revision are no longer kept."""
