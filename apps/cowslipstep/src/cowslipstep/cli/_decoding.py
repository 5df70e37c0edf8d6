"""Decoding of platform objects; a warning for each undecodable one."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from typing import TypeVar

import typer

from cowslipstep.platform import StoredObject

_Decoded = TypeVar('_Decoded')
_DECODING_ERRORS = (ExceptionGroup, LookupError, TypeError, ValueError)


def decode_each(
    listed: Iterable[StoredObject],
    decode: Callable[[str], _Decoded],
) -> Iterator[_Decoded]:
    """Yield the decoded objects.

    An object that is broken, or was written by another version of the
    software, is left out with a warning on standard error.

    Parameters
    ----------
    listed
        Objects as read from the platform.
    decode
        Decodes the text of one object.
    """
    for stored in listed:
        try:
            decoded = decode(stored.body)
        except _DECODING_ERRORS as error:
            reason = _reason(error)
            typer.echo(
                f'warning: platform object {stored.key} is left out: {reason}',
                err=True,
            )
        else:
            yield decoded


def _reason(error: Exception) -> str:
    match error:
        case ExceptionGroup(exceptions=(first, *_)):
            return str(first)
        case _:
            return f'{type(error).__name__}: {error}'
