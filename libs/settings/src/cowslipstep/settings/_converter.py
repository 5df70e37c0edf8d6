"""Conversion between JSON and attrs classes; reports all errors at once."""

from __future__ import annotations

import collections
import json
from typing import Any, NoReturn, TypeVar

from cowslipstep.model import DocumentError
from cowslipstep.settings._checked_converter import make_checked_converter
from cowslipstep.settings._document_errors import errors_below

_Document = TypeVar('_Document')
_ROOT_PATH = '$'


_CONVERTER = make_checked_converter()


def structure(raw: Any, target: type[_Document]) -> _Document:
    """Build ``target`` from decoded JSON.

    Raises
    ------
    ExceptionGroup
        Holds one ``DocumentError`` for each mistake.
    """
    try:
        return _CONVERTER.structure(raw, target)
    except Exception as error:
        errors = list(errors_below(_ROOT_PATH, error))
    raise ExceptionGroup(f'invalid {target.__name__}', errors)


def unstructure(document: Any) -> Any:
    """Return plain lists, dictionaries, text and numbers for JSON."""
    return _CONVERTER.unstructure(document)


def parse_json(text: str | bytes) -> Any:
    """Decode JSON text.

    Raises
    ------
    ExceptionGroup
        Holds one ``DocumentError`` that names line and column.
    """
    try:
        return json.loads(
            text,
            parse_constant=_refuse_constant,
            object_pairs_hook=_refuse_repeated_members,
        )
    except (ValueError, RecursionError) as error:
        problem = DocumentError(_ROOT_PATH, f'not valid JSON: {error}')
        raise ExceptionGroup('the document is not JSON', [problem]) from None


def _refuse_constant(constant: str) -> NoReturn:
    raise ValueError(f'{constant} is not a JSON number')


def _refuse_repeated_members(members: list[tuple[str, Any]]) -> dict[str, Any]:
    counts = collections.Counter(name for name, _ in members)
    repeated = [name for name, count in counts.items() if count > 1]
    if repeated:
        raise ValueError(f'the member {repeated[0]!r} occurs more than once')
    return dict(members)
