"""Exit code and error lines of a failed command."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from attrs import frozen

from cowslipstep.cli._errors import (
    ExitCode,
    SubmissionConflict,
    Unreachable,
    UsageError,
)
from cowslipstep.model import DocumentError
from cowslipstep.platform import ObjectMissing, PlatformUnavailable


@frozen
class ErrorSummary:
    """Exit code of the tool and one line for each error."""

    code: ExitCode
    lines: tuple[str, ...]


def summarize_errors(errors: Iterable[Exception]) -> ErrorSummary:
    """Return the error lines and the highest of their exit codes.

    Examples
    --------
    >>> from cowslipstep.cli._errors import SubmissionConflict
    >>> summarize_errors([SubmissionConflict('version 3')]).code
    <ExitCode.conflict: 3>
    """
    listed = tuple(_flatten(errors))
    code = max(map(_code, listed))
    return ErrorSummary(code, tuple(map(_line, listed)))


def _flatten(errors: Iterable[Exception]) -> Iterator[Exception]:
    for error in errors:
        if isinstance(error, ExceptionGroup):
            yield from _flatten(error.exceptions)
        else:
            yield error


def _line(error: Exception) -> str:
    match error:
        case PlatformUnavailable():
            return f'error: the platform does not answer: {error}'
        case ObjectMissing():
            return f'error: not found, check the platform address: {error}'
        case _:
            return f'error: {error}'


def _code(error: Exception) -> ExitCode:
    match error:
        case UsageError() | DocumentError() | OSError():
            return ExitCode.usage_error
        case SubmissionConflict():
            return ExitCode.conflict
        case Unreachable() | PlatformUnavailable() | ObjectMissing():
            return ExitCode.unreachable
        case _:
            return ExitCode.failed
