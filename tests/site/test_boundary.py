"""Names of the users' protocol occur in the adapter only.

Otherwise another front end could not use the same code.
"""

from __future__ import annotations

import pathlib

import pytest

ROOT = pathlib.Path(__file__).parents[2]
SOURCES = ('libs', 'apps', 'standins')
NAMES = (
    'X-Cowslipstep',
    '/v1/objects',
    '/v1/order',
    '/v1/report',
    '/v1/readiness',
    'COWSLIPSTEP_NODE_FILE',
    'pathPrefix',
    'targetLatencyMs',
    'fencingToken',
    'closeMode',
    'coldRemainingMs',
)


def sources() -> list[pathlib.Path]:
    return [
        path
        for folder in SOURCES
        for path in (ROOT / folder).rglob('*.py')
        if 'tests' not in path.parts
    ]


@pytest.mark.parametrize('name', NAMES)
def test_names_of_the_wire_stay_in_the_adapter(name: str) -> None:
    lowered = name.lower()
    found = [
        str(path.relative_to(ROOT))
        for path in sources()
        if lowered in path.read_text().lower()
    ]
    assert not found


def test_adapter_waits_and_retries_nothing() -> None:
    adapter = ROOT / 'platform' / 'src' / 'cowslipstep_site'
    decoders = [
        path for path in adapter.glob('*.py') if path.name != '__main__.py'
    ]
    assert decoders
    for path in decoders:
        text = path.read_text()
        assert 'sleep' not in text
        assert 'eventlet' not in text
        assert 'urllib3' not in text
