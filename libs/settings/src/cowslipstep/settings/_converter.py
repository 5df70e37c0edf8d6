"""Conversion between JSON values and attrs classes, with all errors."""

from __future__ import annotations

import json
from typing import Any, TypeVar

import cattrs
from cattrs.preconf.json import make_converter

from cowslipstep.model import Address, DocumentError

_Document = TypeVar('_Document')


def _structure_number(number: Any, _cls: type[float]) -> float:
    if isinstance(number, bool) or not isinstance(number, int | float):
        raise TypeError(f'expected a number, got {number!r}')
    return float(number)


def _structure_integer(number: Any, _cls: type[int]) -> int:
    if isinstance(number, bool) or not isinstance(number, int):
        raise TypeError(f'expected a whole number, got {number!r}')
    return number


def _structure_text(text: Any, _cls: type[str]) -> str:
    if not isinstance(text, str):
        raise TypeError(f'expected text, got {text!r}')
    return text


def _structure_address(text: Any, _cls: type[Address]) -> Address:
    return Address.parse(_structure_text(text, str))


def _make_converter() -> cattrs.Converter:
    converter = make_converter(forbid_extra_keys=True)
    converter.register_structure_hook(float, _structure_number)
    converter.register_structure_hook(int, _structure_integer)
    converter.register_structure_hook(str, _structure_text)
    converter.register_structure_hook(Address, _structure_address)
    converter.register_unstructure_hook(Address, str)
    return converter


_CONVERTER = _make_converter()


def structure(raw: Any, cls: type[_Document]) -> _Document:
    """Build ``cls`` from decoded JSON.

    Raises
    ------
    ExceptionGroup
        Holds one ``DocumentError`` for each mistake found.
    """
    try:
        return _CONVERTER.structure(raw, cls)
    except cattrs.BaseValidationError as error:
        raise _collect(error, cls) from None


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
        return json.loads(text)
    except (ValueError, RecursionError) as error:
        problem = DocumentError('$', f'not valid JSON: {error}')
        raise ExceptionGroup('the document is not JSON', [problem]) from None


def _collect(
    error: cattrs.BaseValidationError,
    cls: type[Any],
) -> ExceptionGroup[DocumentError]:
    problems = []
    for line in cattrs.transform_error(error):
        message, _, path = line.rpartition(' @ ')
        problems.append(DocumentError(path, message))
    return ExceptionGroup(f'invalid {cls.__name__}', problems)
