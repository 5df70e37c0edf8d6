"""Objects of another version or broken ones do not hide the others."""

from __future__ import annotations

import time
from typing import Any

import pytest

from cowslipstep.cli._drains import read_drains
from cowslipstep.cli._endings import ending_of
from cowslipstep.cli._exits import ExitCode
from cowslipstep.cli._fleet import read_groups, read_live, read_statuses
from cowslipstep.cli._store import StoredText
from cowslipstep.metrics import (
    DaemonIdentity,
    Status,
    StatusIndex,
    encode_index,
    encode_status,
)
from cowslipstep.platform import ObjectKey, ObjectMissing, StoredObject

_DAEMON = DaemonIdentity('d0', 1, 'ebene', '127.0.0.1:80')
_BROKEN = ('garbage', '[1]', '{}', '{"of_a_newer_version": 1}')


class _Platform:
    """Lists one good object and broken ones."""

    def __init__(self, good: str) -> None:
        self._bodies = (*_BROKEN, good)

    def read_all(self, kind: str) -> tuple[StoredObject, ...]:
        return tuple(
            StoredObject(ObjectKey(kind, f'o{number}'), 1, body)
            for number, body in enumerate(self._bodies)
        )


_STATUS = Status(_DAEMON, '2026-12-04', 0, 1, 60)
_DRAIN = '{"target": "h1", "kind": "host"}'
_LEDGER = '{"fabric_domain": "ebene"}'


@pytest.mark.parametrize(
    ('read', 'good', 'found'),
    [
        (read_live, encode_index(StatusIndex(_DAEMON, time.time(), 60)), 1),
        (read_statuses, encode_status(_STATUS), 1),
        (read_drains, _DRAIN, 1),
        (read_groups, _LEDGER, 0),
    ],
)
def test_what_cannot_be_read_is_told_and_left_out(
    read: Any,
    good: str,
    found: int,
    capsys: pytest.CaptureFixture[str],
) -> None:
    assert len(read(_Platform(good))) == found
    told = capsys.readouterr().err.splitlines()
    assert len(told) == len(_BROKEN)
    for number, line in enumerate(told):
        assert line.startswith('warning: platform object ')
        assert f'/o{number} is left out: ' in line


def test_a_broken_configuration_is_named() -> None:
    stored = StoredText(7, '{"ranks": []}')
    raised = pytest.raises(ExceptionGroup, lambda: stored.configuration)
    ending = ending_of([raised.value])
    assert ending.code == ExitCode.failed
    assert ending.lines[0].startswith(
        'error: configuration in force, version 7: $.ranks: ',
    )


def test_an_address_that_is_no_platform() -> None:
    ending = ending_of([ObjectMissing('GET /objects/status')])
    assert ending.code == ExitCode.unreachable
    assert 'is that the platform?' in ending.lines[0]
