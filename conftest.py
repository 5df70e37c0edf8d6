"""Collection of tests, and the tests that are known to fail."""

from __future__ import annotations

import os
import pathlib
import warnings

import pytest

from cowslipstep_standins._processes import DEFAULT_PORTS, PORTS_VARIABLE

with warnings.catch_warnings():
    warnings.simplefilter('ignore')
    import eventlet  # noqa: F401

# Programs patch the standard library when they are imported.
collect_ignore_glob = ['apps/*/src/*/*/__main__.py', 'standins/src/*']

_KNOWN_RED = pathlib.Path(__file__).with_name('KNOWN-RED.txt')
_ENTRY = 'test: '
_WORKER = 'PYTEST_XDIST_WORKER'
_WORKER_PORTS = 5000


def pytest_configure() -> None:
    """Give each worker a range of ports, so that fleets do not collide."""
    worker = os.environ.get(_WORKER, '')
    if worker:
        base = os.environ.get(PORTS_VARIABLE, DEFAULT_PORTS).partition('-')[0]
        first = int(base) + _WORKER_PORTS * int(worker.removeprefix('gw'))
        last = first + _WORKER_PORTS
        os.environ[PORTS_VARIABLE] = f'{first}-{last}'


def known_red_tests() -> tuple[str, ...]:
    """Node ids listed in ``KNOWN-RED.txt``, on lines ``test: <node id>``."""
    if not _KNOWN_RED.exists():
        return ()
    lines = _KNOWN_RED.read_text().splitlines()
    return tuple(
        line.removeprefix(_ENTRY).strip()
        for line in lines
        if line.startswith(_ENTRY)
    )


def pytest_collection_modifyitems(
    items: list[pytest.Item],  # noqa: WPS110
) -> None:
    """Expect the listed tests, and only these, to fail."""
    known_red = known_red_tests()
    for test in items:
        if test.nodeid in known_red:
            test.add_marker(pytest.mark.xfail(reason='KNOWN-RED.txt'))


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter,
) -> None:
    """Print the tests that are known to fail."""
    for nodeid in known_red_tests():
        terminalreporter.write_line(f'known red: {nodeid}')
