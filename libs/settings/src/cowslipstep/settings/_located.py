"""Mistakes with their places, gathered so that all are told at once."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any

from attrs import field, frozen

from cowslipstep.model import DocumentError


@frozen
class Mistakes:
    """Mistakes found so far in one part of a document.

    Examples
    --------
    >>> mistakes = Mistakes()
    >>> mistakes.attempt('.port', int, 'x')
    >>> [problem.path for problem in mistakes.found]
    ['.port']
    """

    found: list[DocumentError] = field(factory=list)

    def attempt(
        self,
        path: str,
        build: Callable[..., Any],
        *arguments: Any,
    ) -> Any:
        """Return what ``build`` returns; note its error and return none."""
        try:
            return build(*arguments)
        except Exception as error:
            self.found.extend(locate(path, error))
        return None

    def raise_if_any(self, title: str) -> None:
        """Raise all mistakes together.

        Raises
        ------
        ExceptionGroup
            If there is at least one.
        """
        if self.found:
            raise ExceptionGroup(title, self.found)


def locate(path: str, error: Exception) -> Iterator[DocumentError]:
    """Yield the mistakes in an error, each below ``path``."""
    match error:
        case ExceptionGroup():
            for inner in error.exceptions:
                yield from locate(path, inner)
        case DocumentError():
            yield DocumentError(f'{path}{error.path}', error.message)
        case _:
            yield DocumentError(path, _plain_message(error))


def _plain_message(error: Exception) -> str:
    return str(error.args[0]) if error.args else type(error).__name__
