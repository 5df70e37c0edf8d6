"""Undecodable platform objects are left out with a warning.

Without that, one object of another version or a broken one would hide all
others from the tool.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

import pytest
from attrs import evolve

from cowslipstep.cli._drains import read_drains
from cowslipstep.cli._error_summary import summarize_errors
from cowslipstep.cli._errors import ExitCode
from cowslipstep.cli._platform_objects import (
    read_groups,
    read_live_daemons,
    read_statuses,
)
from cowslipstep.cli._stored_configuration import StoredConfiguration
from cowslipstep.metrics import (
    DaemonIdentity,
    Status,
    StatusIndex,
    encode_index,
    encode_status,
)
from cowslipstep.platform import ObjectKey, ObjectMissing, StoredObject

_DAEMON = DaemonIdentity('d0', 1, 'ebene', '127.0.0.1:80')
_YESTERDAY = '2026-12-03'
_TODAY = '2026-12-04'
_BAD_NAME = f'bad-1-{_TODAY}'
_BROKEN = ('garbage', '[1]', '{}', '{"of_a_newer_version": 1}')


class _Platform:
    """Lists broken objects and one valid object."""

    def __init__(self, good: str) -> None:
        self._bodies = (*_BROKEN, good)

    def read_all(self, kind: str) -> tuple[StoredObject, ...]:
        return tuple(
            StoredObject(ObjectKey(kind, f'o{number}'), 1, body)
            for number, body in enumerate(self._bodies)
        )


_STATUS = Status(_DAEMON, _TODAY, 0, 1, 60)
_DRAIN = '{"target": "h1", "kind": "host"}'
_LEDGER = '{"fabric_domain": "ebene"}'


@pytest.mark.parametrize(
    ('read', 'good', 'found'),
    [
        (
            read_live_daemons,
            # Encoded when the test runs, which may be minutes after it was
            # collected: an index that old belongs to no live daemon.
            lambda: encode_index(StatusIndex(_DAEMON, time.time(), 60)),
            1,
        ),
        (read_drains, lambda: _DRAIN, 1),
        (read_groups, lambda: _LEDGER, 0),
    ],
)
def test_undecodable_objects_give_a_warning(
    read: Any,
    good: Callable[[], str],
    found: int,
    capsys: pytest.CaptureFixture[str],
) -> None:
    assert len(read(_Platform(good()))) == found
    warnings = capsys.readouterr().err.splitlines()
    assert len(warnings) == len(_BROKEN)
    for number, line in enumerate(warnings):
        assert line.startswith('warning: platform object ')
        assert f'/o{number} is left out: ' in line


class _Fleet:
    """Holds one index object, and status objects of two days by name."""

    def __init__(self) -> None:
        days = [evolve(_STATUS, day=day) for day in (_YESTERDAY, _TODAY)]
        self._bodies = {day.object_name: encode_status(day) for day in days}
        self._bodies[_BAD_NAME] = _BROKEN[0]

    def read_all(self, kind: str) -> tuple[StoredObject, ...]:
        names = (*self._bodies, f'missing-1-{_TODAY}')
        index = StatusIndex(_DAEMON, 0, 60, statuses=names)
        key = ObjectKey(kind, 'd0')
        return (StoredObject(key, 1, encode_index(index)),)

    def read(self, key: ObjectKey) -> StoredObject:
        if key.name not in self._bodies:
            raise ObjectMissing(str(key))
        return StoredObject(key, 1, self._bodies[key.name])


def test_the_statuses_of_a_day_are_read_by_name(
    capsys: pytest.CaptureFixture[str],
) -> None:
    fleet: Any = _Fleet()
    assert [one.day for one in read_statuses(fleet, _TODAY)] == [_TODAY]
    warnings = capsys.readouterr().err.splitlines()
    assert len(warnings) == 1
    assert f'status/{_BAD_NAME} is left out' in warnings[0]
    days = [one.day for one in read_statuses(fleet)]
    assert days == [_YESTERDAY, _TODAY]


def test_error_names_the_broken_version() -> None:
    stored = StoredConfiguration(7, '{"ranks": []}')
    raised = pytest.raises(ExceptionGroup, lambda: stored.configuration)
    summary = summarize_errors([raised.value])
    assert summary.code == ExitCode.failed
    assert summary.lines[0].startswith(
        'error: configuration in force, version 7: $.ranks: ',
    )


def test_error_for_a_wrong_platform_address() -> None:
    summary = summarize_errors([ObjectMissing('GET /objects/status')])
    assert summary.code == ExitCode.unreachable
    assert 'not found, check the platform address' in summary.lines[0]
