"""Entries of the configuration in force that have a name."""

from __future__ import annotations

import json
from collections.abc import Iterator

from attrs import frozen

from cowslipstep.cli._explanations import Explanation
from cowslipstep.cli._stored_configuration import (
    read_stored_configuration,
    require_configuration,
)
from cowslipstep.model import Configuration
from cowslipstep.platform import PlatformClient
from cowslipstep.settings import unstructure

_SECTIONS = ('ranks', 'workspaces', 'models', 'runners', 'services')
_NAMES = ('name', 'host')


@frozen
class _Entry:
    section: str
    text: str


def explain_config(platform: PlatformClient, name: str) -> Explanation:
    """Find all entries of the configuration in force that have a name.

    Raises
    ------
    PlatformUnavailable
        If the platform does not answer.
    """
    version = read_stored_configuration(platform).version
    found = list(_entries(require_configuration(platform), name))
    if not found:
        return Explanation(
            name,
            well=False,
            summary=f'nothing is named {name!r} in version {version}',
        )
    sections = ', '.join(entry.section for entry in found)
    return Explanation(
        name,
        well=True,
        summary=f'{name!r} is in {sections} of version {version}',
        details=tuple(entry.text for entry in found),
    )


def _entries(configuration: Configuration, name: str) -> Iterator[_Entry]:
    document = unstructure(configuration)
    for section in _SECTIONS:
        for entry in document[section]:
            if name in {entry.get(member) for member in _NAMES}:
                yield _Entry(section, json.dumps(entry, indent=2))
