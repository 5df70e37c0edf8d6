"""Collection of tests, port ranges, and tests that are known to fail."""

from __future__ import annotations

import os
import pathlib
import warnings

import pytest

from cowslipstep_standins._processes import DEFAULT_PORTS, PORTS_VARIABLE

with warnings.catch_warnings():
    warnings.simplefilter('ignore')
    import eventlet  # noqa: F401

# These programs monkey-patch the standard library at import, which would
# affect the tests.
collect_ignore_glob = ['apps/*/src/*/*/__main__.py', 'standins/src/*']

_KNOWN_RED_FILE = pathlib.Path(__file__).with_name('KNOWN-RED.txt')
_NODE_ID_PREFIX = 'test: '
_WORKER_VARIABLE = 'PYTEST_XDIST_WORKER'
_PORTS_PER_WORKER = 5000


def pytest_configure() -> None:
    """Assign a separate range of ports to each worker.

    Otherwise the local fleets of two workers could use the same port.
    """
    worker = os.environ.get(_WORKER_VARIABLE, '')
    if worker:
        base = os.environ.get(PORTS_VARIABLE, DEFAULT_PORTS).partition('-')[0]
        first = int(base) + _PORTS_PER_WORKER * int(worker.removeprefix('gw'))
        last = first + _PORTS_PER_WORKER
        os.environ[PORTS_VARIABLE] = f'{first}-{last}'


def known_red_tests() -> tuple[str, ...]:
    """Return the node ids on the lines ``test: <node id>`` of the file."""
    if not _KNOWN_RED_FILE.exists():
        return ()
    lines = _KNOWN_RED_FILE.read_text().splitlines()
    return tuple(
        line.removeprefix(_NODE_ID_PREFIX).strip()
        for line in lines
        if line.startswith(_NODE_ID_PREFIX)
    )


def pytest_collection_modifyitems(
    items: list[pytest.Item],  # noqa: WPS110
) -> None:
    """Mark the listed tests, and only these, as expected to fail."""
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
