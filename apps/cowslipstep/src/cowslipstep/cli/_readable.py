"""Platform objects that can be read, with a warning for the others."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from typing import TypeVar

import typer

from cowslipstep.platform import StoredObject

_Decoded = TypeVar('_Decoded')
_BROKEN = (ExceptionGroup, LookupError, TypeError, ValueError)


def decode_each(
    listed: Iterable[StoredObject],
    decode: Callable[[str], _Decoded],
) -> Iterator[_Decoded]:
    """Decode objects; one that is broken or of another version is left out.

    Parameters
    ----------
    listed
        Objects as the platform holds them.
    decode
        Reads the text of one of them.
    """
    for stored in listed:
        try:
            decoded = decode(stored.body)
        except _BROKEN as error:
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
