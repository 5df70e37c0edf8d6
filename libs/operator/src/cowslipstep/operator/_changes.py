"""Differences between two configurations."""

from __future__ import annotations

import json
from collections.abc import Iterator, Sequence
from typing import Any

from attrs import frozen, validators

from cowslipstep.model import Configuration
from cowslipstep.settings import unstructure

_SUBMISSION_ID_PATH = '$.submission_id'

with validators.disabled():
    _EMPTY = Configuration(ranks=())


@frozen
class Change:
    """One value that differs between two configurations.

    Parameters
    ----------
    path
        JSON path of the value, with names in place of list indexes.
    before
        The former value in JSON; empty if it was absent.
    after
        The new value in JSON; empty if it is absent.

    Examples
    --------
    >>> str(Change('$.ranks[urgent].worth', '1', '2'))
    '$.ranks[urgent].worth: 1 -> 2'
    """

    path: str
    before: str
    after: str

    def __str__(self) -> str:
        match self:
            case Change(before=''):
                return f'{self.path}: added {self.after}'
            case Change(after=''):
                return f'{self.path}: removed {self.before}'
            case _:
                return f'{self.path}: {self.before} -> {self.after}'


def list_changes(
    before: Configuration | None,
    after: Configuration,
) -> tuple[Change, ...]:
    """Return the values that differ, except the submission id.

    Entries of lists are matched by name or host, if they have one, else by
    position.

    Parameters
    ----------
    before
        The configuration in force, or ``None`` if there is none.
    after
        The other configuration.
    """
    changes = _compare('$', unstructure(before or _EMPTY), unstructure(after))
    return tuple(
        change for change in changes if change.path != _SUBMISSION_ID_PATH
    )


def _compare(path: str, before: Any, after: Any) -> Iterator[Change]:
    match before, after:
        case _ if before == after:
            return
        case dict(), dict():
            yield from _compare_members(f'{path}.{{}}', before, after)
        case list() | tuple(), list() | tuple():
            yield from _compare_members(
                f'{path}[{{}}]',
                _by_label(before),
                _by_label(after),
            )
        case _:
            yield Change(path, _text(before), _text(after))


def _compare_members(
    pattern: str,
    before: dict[str, Any],
    after: dict[str, Any],
) -> Iterator[Change]:
    names = dict.fromkeys([*before, *after])
    for name in names:
        path = pattern.format(name)
        yield from _compare(path, before.get(name), after.get(name))


def _by_label(entries: Sequence[Any]) -> dict[str, Any]:
    return {_label(index, entry): entry for index, entry in enumerate(entries)}


def _text(node: Any) -> str:
    return '' if node is None else json.dumps(node)


def _label(index: int, entry: Any) -> str:
    match entry:
        case {'name': name} | {'host': name}:
            return str(name)
        case _:
            return str(index)
