"""Errors shared by all libraries of the workspace."""

from __future__ import annotations

from cowslipstep.model._verdicts import MayHaveRun, NotRun


class CowslipstepError(Exception):
    """Base class of the errors that cowslipstep defines."""


class DocumentError(CowslipstepError):
    """A settings or configuration document does not match its schema.

    Parameters
    ----------
    path
        JSON path of the faulty part, for example ``$.ranks[0].worth``.
    message
        What was expected there, or what is wrong.

    Examples
    --------
    >>> str(DocumentError('$.port', 'must be positive'))
    '$.port: must be positive'
    """

    def __init__(self, path: str, message: str) -> None:
        super().__init__(f'{path}: {message}')
        self._path = path
        self._message = message

    @property
    def path(self) -> str:
        """JSON path of the faulty part."""
        return self._path

    @property
    def message(self) -> str:
        """The message without the path."""
        return self._message


class RequestError(CowslipstepError):
    """A request ended without a complete response.

    Parameters
    ----------
    verdict
        Whether the request may have run.
    message
        Explanation in plain text, sent to the caller.
    status
        HTTP status code of the error response.

    Examples
    --------
    >>> from cowslipstep.model import NotRun, Reason
    >>> RequestError(NotRun(Reason.limit), 'too many requests', 429).status
    429
    """

    def __init__(
        self,
        verdict: NotRun | MayHaveRun,
        message: str,
        status: int,
    ) -> None:
        super().__init__(message)
        self._verdict = verdict
        self._status = status

    @property
    def verdict(self) -> NotRun | MayHaveRun:
        """Whether the request may have run."""
        return self._verdict

    @property
    def status(self) -> int:
        """HTTP status code of the error response."""
        return self._status
