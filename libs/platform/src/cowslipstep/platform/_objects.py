"""Objects of the platform's object API, and errors of its calls."""

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
    """An object as read; its version grows with each change.

    The client counts versions as positions, which grow across eras, too.
    ``body`` is the JSON text of the object.
    """

    key: ObjectKey
    version: int
    body: str


class PlatformUnavailable(CowslipstepError):
    """A call got no usable response.

    Parameters
    ----------
    verdict
        ``NotRun`` when the call did not reach the platform or was refused
        by it, ``MayHaveRun`` when a change may have taken effect.
    message
        The call and what failed.
    is_silent
        Whether there was no response within the time limit of the call.
    """

    def __init__(
        self,
        verdict: NotRun | MayHaveRun,
        message: str,
        *,
        is_silent: bool = False,
    ) -> None:
        super().__init__(message)
        self._verdict = verdict
        self._is_silent = is_silent

    @property
    def is_silent(self) -> bool:
        """Whether there was no response within the time limit."""
        return self._is_silent

    @property
    def verdict(self) -> NotRun | MayHaveRun:
        """Whether the call may have taken effect."""
        return self._verdict


class VersionConflict(CowslipstepError):
    """A conditional change failed: the object has another version."""


class ObjectMissing(CowslipstepError):
    """No object of that kind and name exists."""


class HistoryGone(CowslipstepError):
    """The platform no longer keeps the changes after a revision."""
