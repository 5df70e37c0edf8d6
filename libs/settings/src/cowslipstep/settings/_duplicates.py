"""Errors on names, addresses and keys that a configuration repeats."""

from __future__ import annotations

import itertools
from collections.abc import Iterable, Iterator
from typing import Any

from attrs import frozen

from cowslipstep.model import Configuration, DocumentError, PlainService

_NAMED_SECTIONS = ('ranks', 'workspaces', 'models', 'services')


@frozen
class _Entry:
    """A text that must be unique, and its JSON path."""

    path: str
    text: str


def duplicate_errors(
    configuration: Configuration,
) -> Iterator[DocumentError]:
    """Yield an error for each repetition of a text that must be unique."""
    for section in _NAMED_SECTIONS:
        named = getattr(configuration, section)
        yield from _repetition_errors(_member_entries(section, 'name', named))
    yield from _repetition_errors(
        _member_entries('runners', 'host', configuration.runners)
    )
    yield from _repetition_errors(_address_entries(configuration))
    yield from _repetition_errors(_key_digest_entries(configuration))


def _repetition_errors(entries: Iterable[_Entry]) -> Iterator[DocumentError]:
    first_paths: dict[str, str] = {}
    for entry in entries:
        first = first_paths.setdefault(entry.text, entry.path)
        if first != entry.path:
            message = f'{entry.text!r} is already used at {first}'
            yield DocumentError(entry.path, message)


def _member_entries(
    section: str, member: str, owners: Iterable[Any]
) -> list[_Entry]:
    return [
        _Entry(f'$.{section}[{index}].{member}', getattr(entry, member))
        for index, entry in enumerate(owners)
    ]


def _address_entries(configuration: Configuration) -> Iterator[_Entry]:
    for number, runner in enumerate(configuration.runners):
        yield _Entry(f'$.runners[{number}].address', str(runner.address))
    for index, service in enumerate(configuration.services):
        yield from _service_address_entries(f'$.services[{index}]', service)


def _service_address_entries(
    path: str, service: PlainService
) -> Iterator[_Entry]:
    for position, address in enumerate(service.addresses):
        yield _Entry(f'{path}.addresses[{position}]', str(address))


def _key_digest_entries(configuration: Configuration) -> Iterator[_Entry]:
    return itertools.chain.from_iterable(
        (
            _Entry(f'$.workspaces[{index}].key_sha256[{position}]', digest)
            for position, digest in enumerate(workspace.key_sha256)
        )
        for index, workspace in enumerate(configuration.workspaces)
    )
