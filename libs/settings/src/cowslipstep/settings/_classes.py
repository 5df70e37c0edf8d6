"""Building attrs classes from JSON objects, with all mistakes at once."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, TypeVar, get_args

import attrs
import cattrs

from cowslipstep.model import DocumentError
from cowslipstep.settings._located import Mistakes

_Document = TypeVar('_Document')


def class_hook(
    converter: cattrs.Converter,
) -> Callable[[Any, type[_Document]], _Document]:
    """Return a hook that builds attrs classes and checks each field."""

    def build(raw: Any, target: type[_Document]) -> _Document:  # noqa: WPS430
        if not isinstance(raw, dict):
            raise TypeError(f'expected an object, got {_kind(raw)}')
        mistakes = Mistakes()
        fields = attrs.fields_dict(attrs.resolve_types(target))  # type: ignore
        mistakes.found.extend(_name_problems(raw, fields))
        arguments = {
            name: mistakes.attempt(f'.{name}', _field, converter, known, raw)
            for name, known in fields.items()
            if name in raw
        }
        mistakes.raise_if_any(f'invalid {target.__name__}')
        return target(**arguments)

    return build


def tuple_hook(
    converter: cattrs.Converter,
) -> Callable[[Any, Any], tuple[Any, ...]]:
    """Return a hook that builds tuples of one type from JSON arrays."""

    def build(raw: Any, target: Any) -> tuple[Any, ...]:  # noqa: WPS430
        if not isinstance(raw, list | tuple):
            raise TypeError(f'expected an array, got {_kind(raw)}')
        mistakes = Mistakes()
        entry_type = get_args(target)[0]
        entries = tuple(
            mistakes.attempt(
                f'[{index}]', converter.structure, raw_entry, entry_type
            )
            for index, raw_entry in enumerate(raw)
        )
        mistakes.raise_if_any('invalid array')
        return entries

    return build


def is_uniform_tuple(target: Any) -> bool:
    """Whether a type is a tuple of any length of one type.

    Examples
    --------
    >>> is_uniform_tuple(tuple[int, ...]), is_uniform_tuple(tuple[int, int])
    (True, False)
    """
    is_tuple = getattr(target, '__origin__', None) is tuple
    return is_tuple and get_args(target)[1:] == (...,)


def _field(
    converter: cattrs.Converter,
    known: attrs.Attribute[Any],
    raw: dict[str, Any],
) -> Any:
    found = converter.structure(raw[known.name], known.type)  # type: ignore
    if known.validator is not None:
        known.validator(None, known, found)
    return found


def _name_problems(
    raw: dict[str, Any],
    fields: dict[str, attrs.Attribute[Any]],
) -> list[DocumentError]:
    missing = [
        DocumentError(f'.{name}', 'is missing')
        for name, known in fields.items()
        if known.default is attrs.NOTHING and name not in raw
    ]
    unknown = [
        DocumentError(f'.{name}', 'is not a known field')
        for name in raw
        if name not in fields
    ]
    return [*missing, *unknown]


def _kind(raw: Any) -> str:
    match raw:
        case None:
            return 'null'
        case dict():
            return 'an object'
        case list():
            return 'an array'
        case str():
            return f'text {raw!r}'
        case _:
            return repr(raw)
