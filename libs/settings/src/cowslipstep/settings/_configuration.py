"""Reading and checking the configuration document."""

from __future__ import annotations

import collections
import json
from collections.abc import Iterator

from cowslipstep.model import Configuration, DocumentError
from cowslipstep.settings._converter import parse_json, structure, unstructure


def parse_configuration(text: str | bytes) -> Configuration:
    """Read and check a configuration from JSON text.

    Raises
    ------
    ExceptionGroup
        Holds one ``DocumentError`` for each mistake.
    """
    configuration = structure(parse_json(text), Configuration)
    check_configuration(configuration)
    return configuration


def format_configuration(configuration: Configuration) -> str:
    """Return the JSON text of a configuration, indented for reading."""
    return json.dumps(unstructure(configuration), indent=2)


def check_configuration(configuration: Configuration) -> None:
    """Check what spans several fields.

    Raises
    ------
    ExceptionGroup
        Holds one ``DocumentError`` for each mistake.
    """
    problems = [
        *_duplicate_problems(configuration),
        *_floor_problems(configuration),
    ]
    if problems:
        raise ExceptionGroup('invalid Configuration', problems)


def _duplicate_problems(
    configuration: Configuration,
) -> Iterator[DocumentError]:
    names = {
        'ranks': [rank.name for rank in configuration.ranks],
        'workspaces': [space.name for space in configuration.workspaces],
        'models': [model.name for model in configuration.models],
        'runners': [runner.host for runner in configuration.runners],
        'services': [service.name for service in configuration.services],
    }
    for section, listed in names.items():
        for name, count in collections.Counter(listed).items():
            if count > 1:
                yield DocumentError(
                    f'$.{section}',
                    f'{name!r} appears {count} times',
                )


def _floor_problems(configuration: Configuration) -> Iterator[DocumentError]:
    total = sum(rank.floor_share for rank in configuration.ranks)
    if total > 1:
        yield DocumentError('$.ranks', f'floor shares add up to {total}')
