"""Building attrs classes and tuples from JSON; reports all errors at once."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, TypeVar, get_args

import attrs
import cattrs

from cowslipstep.model import DocumentError
from cowslipstep.settings._document_errors import DocumentErrors

_Document = TypeVar('_Document')


def class_hook(
    converter: cattrs.Converter,
) -> Callable[[Any, type[_Document]], _Document]:
    """Return a cattrs hook that builds attrs classes from JSON objects."""

    def build(raw: Any, target: type[_Document]) -> _Document:  # noqa: WPS430
        if not isinstance(raw, dict):
            raise TypeError(f'expected an object, got {_describe(raw)}')
        errors = DocumentErrors()
        fields = attrs.fields_dict(attrs.resolve_types(target))  # type: ignore
        errors.collected.extend(_field_name_errors(raw, fields))
        arguments = {
            name: errors.build_or_collect(
                f'.{name}', _structure_field, converter, attribute, raw
            )
            for name, attribute in fields.items()
            if name in raw
        }
        errors.raise_if_any(f'invalid {target.__name__}')
        return target(**arguments)

    return build


def tuple_hook(
    converter: cattrs.Converter,
) -> Callable[[Any, Any], tuple[Any, ...]]:
    """Return a cattrs hook that builds tuples of one type from JSON arrays."""

    def build(raw: Any, target: Any) -> tuple[Any, ...]:  # noqa: WPS430
        if not isinstance(raw, list | tuple):
            raise TypeError(f'expected an array, got {_describe(raw)}')
        errors = DocumentErrors()
        entry_type = get_args(target)[0]
        entries = tuple(
            errors.build_or_collect(
                f'[{index}]', converter.structure, raw_entry, entry_type
            )
            for index, raw_entry in enumerate(raw)
        )
        errors.raise_if_any('invalid array')
        return entries

    return build


def is_uniform_tuple(target: Any) -> bool:
    """Whether a type is a tuple of any length with entries of one type.

    Examples
    --------
    >>> is_uniform_tuple(tuple[int, ...]), is_uniform_tuple(tuple[int, int])
    (True, False)
    """
    is_tuple = getattr(target, '__origin__', None) is tuple
    return is_tuple and get_args(target)[1:] == (...,)


def _structure_field(
    converter: cattrs.Converter,
    member: attrs.Attribute[Any],
    raw: dict[str, Any],
) -> Any:
    built = converter.structure(raw[member.name], member.type)  # type: ignore
    if member.validator is not None:
        member.validator(None, member, built)
    return built


def _field_name_errors(
    raw: dict[str, Any],
    fields: dict[str, attrs.Attribute[Any]],
) -> list[DocumentError]:
    missing = [
        DocumentError(f'.{name}', 'is missing')
        for name, attribute in fields.items()
        if attribute.default is attrs.NOTHING and name not in raw
    ]
    unknown = [
        DocumentError(f'.{name}', 'is not a known field')
        for name in raw
        if name not in fields
    ]
    return [*missing, *unknown]


def _describe(raw: Any) -> str:
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
