"""How the tool ends after errors."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from attrs import frozen

from cowslipstep.cli._exits import Conflict, ExitCode, Unreachable, WrongUse
from cowslipstep.model import DocumentError
from cowslipstep.platform import ObjectMissing, PlatformUnavailable


@frozen
class Ending:
    """Exit code and the lines that say why."""

    code: ExitCode
    lines: tuple[str, ...]


def ending_of(errors: Iterable[Exception]) -> Ending:
    """Return how the tool ends after some errors.

    Examples
    --------
    >>> from cowslipstep.cli._exits import Conflict
    >>> ending_of([Conflict('version 3')]).code
    <ExitCode.conflict: 3>
    """
    listed = tuple(_flatten(errors))
    code = max(map(_code, listed))
    return Ending(code, tuple(map(_line, listed)))


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
            return f'error: not found, is that the platform? {error}'
        case _:
            return f'error: {error}'


def _code(error: Exception) -> ExitCode:
    match error:
        case WrongUse() | DocumentError() | OSError():
            return ExitCode.wrong_use
        case Conflict():
            return ExitCode.conflict
        case Unreachable() | PlatformUnavailable() | ObjectMissing():
            return ExitCode.unreachable
        case _:
            return ExitCode.failed
