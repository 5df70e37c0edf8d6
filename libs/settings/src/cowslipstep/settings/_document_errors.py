"""Errors in a document with their paths, collected to report all at once."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any

from attrs import field, frozen

from cowslipstep.model import DocumentError


@frozen
class DocumentErrors:
    """Errors found so far in one part of a document.

    Examples
    --------
    >>> errors = DocumentErrors()
    >>> errors.build_or_collect('.port', int, 'x')
    >>> [error.path for error in errors.collected]
    ['.port']
    """

    collected: list[DocumentError] = field(factory=list)

    def build_or_collect(
        self,
        path: str,
        build: Callable[..., Any],
        *arguments: Any,
    ) -> Any:
        """Return what ``build`` returns, or ``None`` and collect its error."""
        try:
            return build(*arguments)
        except Exception as error:
            self.collected.extend(errors_below(path, error))
        return None

    def raise_if_any(self, title: str) -> None:
        """Raise all errors together.

        Raises
        ------
        ExceptionGroup
            If there is at least one error.
        """
        if self.collected:
            raise ExceptionGroup(title, self.collected)


def errors_below(path: str, error: Exception) -> Iterator[DocumentError]:
    """Yield the document errors in an error, each with ``path`` prefixed."""
    match error:
        case ExceptionGroup():
            for inner in error.exceptions:
                yield from errors_below(path, inner)
        case DocumentError():
            yield DocumentError(f'{path}{error.path}', error.message)
        case _:
            yield DocumentError(path, _plain_message(error))


def _plain_message(error: Exception) -> str:
    return str(error.args[0]) if error.args else type(error).__name__
