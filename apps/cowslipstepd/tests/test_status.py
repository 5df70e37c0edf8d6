"""Status objects are reset each day, and expired ones are deleted."""

from __future__ import annotations

import functools
import time
from collections.abc import Callable
from typing import Any

import eventlet
import pytest
from attrs import evolve

from cowslipstep.daemon._state import DaemonState
from cowslipstep.daemon._status_index import INDEX_KIND
from cowslipstep.daemon._status_retention import delete_expired_statuses
from cowslipstep.daemon._status_writer import StatusWriter
from cowslipstep.metrics import (
    CounterKey,
    MergedDay,
    Series,
    Status,
    decode_index,
    decode_status,
    merge_day,
)
from cowslipstep.model import Address, MayHaveRun, NotRun, Reason
from cowslipstep.platform import (
    ObjectKey,
    ObjectMissing,
    PlatformUnavailable,
    StoredObject,
    VersionConflict,
)
from cowslipstep.settings import DaemonSettings

_ANYWHERE = Address('127.0.0.1', 0)
_DAY_S = 86400
_NOON_UNIX_S = 1796385600
_MIDNIGHT_UNIX_S = _NOON_UNIX_S + _DAY_S // 2
_REQUESTS = CounterKey('requests')


class _SimulatedPlatform:
    """Platform in memory that can be down or lose responses to writes."""

    def __init__(self) -> None:
        self.stored: dict[ObjectKey, StoredObject] = {}
        self.loses_responses = False
        self.is_down = False
        self.before_create: list[Callable[[], None]] = []
        self.at_next_write: list[Callable[[], None]] = []

    def create(self, key: ObjectKey, body: str) -> int:
        while self.before_create:
            self.before_create.pop()()
        if self.is_down:
            verdict = NotRun(Reason.platform_down)
            raise PlatformUnavailable(verdict, 'down')
        if key in self.stored:
            raise VersionConflict(str(key))
        return self._put(key, 1, body)

    def read(self, key: ObjectKey) -> StoredObject:
        if key not in self.stored:
            raise ObjectMissing(str(key))
        return self.stored[key]

    def read_all(self, kind: str) -> tuple[StoredObject, ...]:
        return tuple(
            one for one in self.stored.values() if one.key.kind == kind
        )

    def update(self, key: ObjectKey, version: int, body: str) -> int:
        if self.read(key).version != version:
            raise VersionConflict(str(key))
        return self._put(key, version + 1, body)

    def delete(self, key: ObjectKey, version: int) -> None:
        self.stored.pop(key)

    def _put(self, key: ObjectKey, version: int, body: str) -> int:
        self.stored[key] = StoredObject(key, version, body)
        while self.at_next_write:
            self.at_next_write.pop()()
        if self.loses_responses:
            verdict = MayHaveRun(Reason.platform_down)
            raise PlatformUnavailable(verdict, 'lost')
        return version


@pytest.fixture(name='store')
def store_fixture() -> _SimulatedPlatform:
    return _SimulatedPlatform()


@pytest.fixture(name='state')
def state_fixture(store: Any) -> DaemonState:
    settings = DaemonSettings('d0', 'ebene', _ANYWHERE, _ANYWHERE, _ANYWHERE)
    return DaemonState(settings, store)


@pytest.fixture(name='writer')
def writer_fixture(state: DaemonState) -> StatusWriter:
    return StatusWriter(state)


def _statuses(store: _SimulatedPlatform) -> list[Status]:
    return [decode_status(entry.body) for entry in store.read_all('status')]


def test_a_new_day_begins_with_empty_metrics(
    store: _SimulatedPlatform,
    state: DaemonState,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(time, 'time', lambda: _NOON_UNIX_S)
    writer = StatusWriter(state)
    state.counters.add(_REQUESTS, 3)
    writer.step()
    state.counters.add(_REQUESTS, 2)
    monkeypatch.setattr(time, 'time', lambda: _NOON_UNIX_S + _DAY_S)
    writer.step()
    state.counters.add(_REQUESTS, 1)
    writer.write()
    first, second = _statuses(store)
    assert merge_day(first.day, [first, second]).total('requests') == 5
    assert merge_day(second.day, [first, second]).total('requests') == 1


def test_a_write_with_lost_response_is_replaced(
    store: _SimulatedPlatform,
    state: DaemonState,
    writer: StatusWriter,
) -> None:
    store.loses_responses = True
    writer.write()
    store.loses_responses = False
    state.counters.add(_REQUESTS, 4)
    writer.write()
    assert [one.counters[0].amount for one in _statuses(store)] == [4]


def test_statuses_before_yesterday_are_deleted(
    store: _SimulatedPlatform,
    state: DaemonState,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    now_s = time.time()
    for days_ago in (3, 2, 1, 0):
        begun_s = now_s - days_ago * _DAY_S
        monkeypatch.setattr(time, 'time', functools.partial(float, begun_s))
        StatusWriter(state).write()
    monkeypatch.undo()
    delete_expired_statuses(state)
    assert len(_statuses(store)) == 2


def test_statuses_of_lost_daemons_are_deleted(
    store: _SimulatedPlatform,
    state: DaemonState,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    now_s = time.time()
    _set_time(monkeypatch, now_s - 2 * _DAY_S)
    lost = evolve(state, settings=evolve(state.settings, name='lost'))
    StatusWriter(lost).write()
    _set_time(monkeypatch, now_s - _DAY_S)
    StatusWriter(state).write()
    delete_expired_statuses(state)
    assert len(_statuses(store)) == 2
    _set_time(monkeypatch, now_s)
    delete_expired_statuses(state)
    assert [status.daemon.name for status in _statuses(store)] == ['d0']
    assert [key.name for key in store.stored if key.kind == INDEX_KIND] == [
        'd0',
    ]


def test_the_index_lists_a_replaced_daemon(
    store: _SimulatedPlatform,
    state: DaemonState,
    writer: StatusWriter,
) -> None:
    writer.write()
    StatusWriter(evolve(state, incarnation=2)).write()
    index = decode_index(store.read_all(INDEX_KIND)[0].body)
    names = {stored.key.name for stored in store.read_all('status')}
    assert len(names) == 2
    assert set(index.statuses) == names
    assert index.daemon.incarnation == 2


def test_the_index_is_written_less_often(
    store: _SimulatedPlatform,
    state: DaemonState,
    writer: StatusWriter,
) -> None:
    for _ in range(3):
        writer.write()
    assert store.read_all('status')[0].version == 3
    assert store.read_all(INDEX_KIND)[0].version == 1
    state.stopping = True
    writer.write()
    assert decode_index(store.read_all(INDEX_KIND)[0].body).stopping


def _days(store: _SimulatedPlatform) -> list[MergedDay]:
    statuses = _statuses(store)
    names = sorted(status.day for status in statuses)
    return [merge_day(name, statuses) for name in names]


def _set_time(monkeypatch: pytest.MonkeyPatch, unix_s: float) -> None:
    monkeypatch.setattr(time, 'time', lambda: unix_s)


def test_late_growth_counts_in_the_last_slot(
    store: _SimulatedPlatform,
    state: DaemonState,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    key = CounterKey(
        'requests',
        (('rank', 'urgent'), ('verdict', 'completed')),
    )
    _set_time(monkeypatch, _MIDNIGHT_UNIX_S - 3)
    writer = StatusWriter(state)
    state.counters.add(key)
    state.counters.add(CounterKey('answered_tokens', (('rank', 'urgent'),)))
    _set_time(monkeypatch, _MIDNIGHT_UNIX_S + 2)
    writer.step()
    day = _days(store)[0]
    assert [entry.key.slot for entry in day.timeline] == [287]
    assert [entry.slot for entry in day.answered_tokens] == [287]


def test_a_request_during_a_write_counts_once(
    store: _SimulatedPlatform,
    state: DaemonState,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    series = Series('total', 'firm', 'urgent')
    _set_time(monkeypatch, _MIDNIGHT_UNIX_S - 3)
    writer = StatusWriter(state)
    state.counters.add(_REQUESTS, 3)
    state.histograms.record(series, 1)
    _set_time(monkeypatch, _MIDNIGHT_UNIX_S + 2)
    store.at_next_write = [
        lambda: state.counters.add(_REQUESTS),
        lambda: state.histograms.record(series, 1),
    ]
    writer.step()
    writer.write()
    days = _days(store)
    assert [day.total('requests') for day in days] == [3, 1]
    assert [day.histograms[series].count for day in days] == [1, 1]


def test_a_day_is_written_after_an_outage(
    store: _SimulatedPlatform,
    state: DaemonState,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    _set_time(monkeypatch, _MIDNIGHT_UNIX_S - 3)
    writer = StatusWriter(state)
    state.counters.add(_REQUESTS, 3)
    store.is_down = True
    _set_time(monkeypatch, _MIDNIGHT_UNIX_S + 2)
    writer.step()
    state.counters.add(_REQUESTS, 1)
    store.is_down = False
    writer.write()
    days = _days(store)
    assert [day.total('requests') for day in days] == [3, 1]


def test_an_older_write_replaces_no_newer_one(
    store: _SimulatedPlatform,
    state: DaemonState,
    writer: StatusWriter,
) -> None:
    store.before_create = [lambda: eventlet.sleep(0.05)]
    older = eventlet.spawn(writer.write)
    eventlet.sleep(0)
    state.counters.add(_REQUESTS, 4)
    writer.write()
    older.wait()
    assert [one.counters[0].amount for one in _statuses(store)] == [4]


def test_a_deleted_index_is_created_again(
    store: _SimulatedPlatform,
    writer: StatusWriter,
    state: DaemonState,
) -> None:
    writer.write()
    store.stored.clear()
    state.stopping = True
    for _ in range(3):
        writer.write()
    assert len(store.read_all(INDEX_KIND)) == 1
    assert len(store.read_all('status')) == 1
