"""Names, addresses and keys that appear twice in a configuration."""

from __future__ import annotations

import itertools
from collections.abc import Iterable, Iterator
from typing import Any

from attrs import frozen

from cowslipstep.model import Configuration, DocumentError, PlainService

_NAMED_SECTIONS = ('ranks', 'workspaces', 'models', 'services')


@frozen
class _Entry:
    path: str
    text: str


def duplicate_problems(
    configuration: Configuration,
) -> Iterator[DocumentError]:
    """Yield a mistake for each repetition of what must be unique."""
    for section in _NAMED_SECTIONS:
        named = getattr(configuration, section)
        yield from _repeated(_listed(section, 'name', named))
    yield from _repeated(_listed('runners', 'host', configuration.runners))
    yield from _repeated(_addresses(configuration))
    yield from _repeated(_digests(configuration))


def _repeated(entries: Iterable[_Entry]) -> Iterator[DocumentError]:
    first_paths: dict[str, str] = {}
    for entry in entries:
        first = first_paths.setdefault(entry.text, entry.path)
        if first != entry.path:
            message = f'{entry.text!r} is already used at {first}'
            yield DocumentError(entry.path, message)


def _listed(section: str, member: str, listed: Iterable[Any]) -> list[_Entry]:
    return [
        _Entry(f'$.{section}[{index}].{member}', getattr(entry, member))
        for index, entry in enumerate(listed)
    ]


def _addresses(configuration: Configuration) -> Iterator[_Entry]:
    for number, runner in enumerate(configuration.runners):
        yield _Entry(f'$.runners[{number}].address', str(runner.address))
    for index, service in enumerate(configuration.services):
        yield from _service_addresses(f'$.services[{index}]', service)


def _service_addresses(path: str, service: PlainService) -> Iterator[_Entry]:
    for position, address in enumerate(service.addresses):
        yield _Entry(f'{path}.addresses[{position}]', str(address))


def _digests(configuration: Configuration) -> Iterator[_Entry]:
    return itertools.chain.from_iterable(
        (
            _Entry(f'$.workspaces[{index}].key_sha256[{position}]', digest)
            for position, digest in enumerate(workspace.key_sha256)
        )
        for index, workspace in enumerate(configuration.workspaces)
    )
