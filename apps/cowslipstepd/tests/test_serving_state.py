"""Runners and configuration through outages, routes, and suspicions."""

from __future__ import annotations

import json
from collections.abc import Iterator

import pytest
from _route_cases import ROUTE
from loguru import logger

from cowslipstep.fleet import (
    CallerLimits,
    CallerRequest,
    DiscoveredRunner,
    KeyIdentity,
    ServingConfiguration,
)
from cowslipstep.model import Address, DocumentError, Reason, RequestError
from cowslipstep.model.loads import RunnerDocument, RunnersCopy
from cowslipstep.platform import (
    KindChanges,
    ObjectChange,
    ObjectKey,
    ObjectPage,
    StoredObject,
)
from cowslipstep.serving._configuration_in_force import ConfigurationInForce
from cowslipstep.serving._runner_copies import copy_runners
from cowslipstep.serving._runner_observer import RunnerObserver
from cowslipstep.serving._runner_table import RunnerEntries, RunnerTable
from cowslipstep.serving._suspicions import Suspicions

LIMITS = CallerLimits(1000)
DOCUMENT_B = RunnerDocument('b', 'drafting')


class Clock:
    """A clock that the test sets."""

    now_s = 0

    def __call__(self) -> float:
        """Return the time."""
        return self.now_s


def decode(name: str, document: str) -> DiscoveredRunner:
    if document == 'broken':
        raise DocumentError(name, document)
    return DiscoveredRunner(name, document, Address('127.0.0.1', 1), 'n', 1)


def page(revision: int, *names: str, document: str = 'drafting') -> ObjectPage:
    listed = tuple(
        StoredObject(ObjectKey('runners', name), revision, document)
        for name in names
    )
    return ObjectPage(listed, '', revision)


def observe(entries: RunnerEntries) -> RunnerObserver:
    return RunnerObserver(entries, registration_s=60)


@pytest.fixture
def entries() -> RunnerEntries:
    return RunnerEntries(RunnerTable(), decode, list)


@pytest.fixture
def warnings() -> Iterator[list[str]]:
    lines: list[str] = []
    sink = logger.add(lines.append, level='WARNING')
    yield lines
    logger.remove(sink)


def test_missing_entry_is_removed_at_once(entries: RunnerEntries) -> None:
    observer = RunnerObserver(entries, registration_s=60)
    observer.replace(page(1, 'a', 'b'))
    observer.replace(page(2, 'a'))
    assert set(entries.table.runners) == {'a'}


def test_missing_entry_stays_after_an_outage(entries: RunnerEntries) -> None:
    observer = RunnerObserver(entries, registration_s=60)
    observer.replace(page(1, 'a', 'b'))
    observer.on_outage()
    observer.replace(page(2, 'a'))
    assert set(entries.table.runners) == {'a', 'b'}
    assert not entries.table.platform_lost


def test_older_page_also_ends_an_outage(entries: RunnerEntries) -> None:
    observer = observe(entries)
    observer.replace(page(1, 'a'))
    observer.on_outage()
    entries.apply_copy(RunnersCopy(6, (DOCUMENT_B,)))
    observer.replace(page(5, 'a'))
    assert not entries.table.platform_lost
    assert set(entries.table.runners) == {'a', 'b'}


def test_invalid_entry_removes_its_runner(entries: RunnerEntries) -> None:
    observer = RunnerObserver(entries, registration_s=60)
    observer.replace(page(1, 'a'))
    observer.replace(page(2, 'a', document='broken'))
    assert not entries.table.runners


def test_invalid_entry_is_logged_once(
    entries: RunnerEntries, warnings: list[str]
) -> None:
    observer = observe(entries)
    for revision in (1, 2, 3):
        observer.replace(page(revision, 'a', document='broken'))
    assert len(warnings) == 1
    observer.replace(page(4, 'a'))
    observer.replace(page(5, 'a', document='broken'))
    assert len(warnings) == 2


def test_copy_of_a_peer_is_applied_only_if_newer(
    entries: RunnerEntries,
) -> None:
    RunnerObserver(entries, registration_s=60).replace(page(5, 'a'))
    entries.apply_copy(RunnersCopy(4, (), is_complete=True))
    assert set(entries.table.runners) == {'a'}
    entries.apply_copy(RunnersCopy(6, (DOCUMENT_B,), is_complete=True))
    assert set(entries.table.runners) == {'b'}
    assert entries.table.revision == 6


def test_copy_holds_changes_since_a_revision(
    entries: RunnerEntries,
) -> None:
    observe(entries).replace(page(5, 'a', 'c'))
    entries.apply_copy(RunnersCopy(8, (DOCUMENT_B,), ('c',)))
    assert set(entries.table.runners) == {'a', 'b'}
    assert copy_runners(entries.table, 5) == RunnersCopy(
        8,
        (DOCUMENT_B,),
        ('c',),
    )
    assert copy_runners(entries.table, 8) == RunnersCopy(8)


def test_copy_is_complete_before_the_change_log(
    entries: RunnerEntries,
) -> None:
    observe(entries).replace(page(5, 'b'))
    for known_revision in (0, 4):
        copy = copy_runners(entries.table, known_revision)
        assert copy == RunnersCopy(5, (DOCUMENT_B,), is_complete=True)


def test_expired_entry_is_sent_at_next_revision(
    entries: RunnerEntries,
) -> None:
    observer = RunnerObserver(entries, registration_s=60)
    observer.replace(page(5, 'a'))
    entries.expire('a')
    observer.apply(KindChanges((), 6))
    assert copy_runners(entries.table, 5).removed == ('a',)


def test_older_watch_does_not_undo_a_peer_copy(
    entries: RunnerEntries,
) -> None:
    observer = RunnerObserver(entries, registration_s=60)
    observer.replace(page(5, 'a'))
    entries.apply_copy(RunnersCopy(8, (), ('a',)))
    stored = StoredObject(ObjectKey('runners', 'a'), 6, 'drafting')
    observer.apply(KindChanges((ObjectChange(stored, removed=False),), 7))
    observer.replace(page(7, 'a'))
    assert not entries.table.runners


def configuration(text: str) -> ServingConfiguration:
    version = json.loads(text)
    if not isinstance(version, int):
        raise DocumentError('version', text)
    return ServingConfiguration(version, (ROUTE,), {}, LIMITS)


@pytest.mark.parametrize('later', ['3', '4', '"none"'])
def test_older_or_invalid_document_is_ignored(later: str) -> None:
    in_force = ConfigurationInForce(configuration)
    in_force.update('4')
    in_force.update(later)
    assert (in_force.version, in_force.document) == (4, '4')


def test_invalid_configuration_is_logged_once(warnings: list[str]) -> None:
    in_force = ConfigurationInForce(configuration)
    for document in ('"none"', '"none"', '4', '"none"', '"other"'):
        in_force.update(document)
    assert len(warnings) == 2


def request(path: str, key: str | None) -> CallerRequest:
    return CallerRequest('r', 'orders.example', 'GET', path, (), b'', key=key)


def keyed_table():
    in_force = ConfigurationInForce(
        lambda _text: ServingConfiguration(
            1,
            (ROUTE,),
            {},
            LIMITS,
            keys={'k': KeyIdentity('sales', 3)},
            requires_keys=True,
        ),
    )
    in_force.update('')
    return in_force.table


def test_route_is_found_by_its_longest_prefix() -> None:
    routed = keyed_table().route(request('/quotes/a/b?c=/d', 'k'))
    assert (routed.workspace, routed.rank) == ('sales', 3)


@pytest.mark.parametrize(
    ('path', 'key', 'status'),
    [('/quotes', 'k', 404), ('/quotes/a', 'x', 401), ('/quotes/a', None, 401)],
)
def test_requests_without_route_or_key(
    path: str,
    key: str | None,
    status: int,
) -> None:
    with pytest.raises(RequestError) as raised:
        keyed_table().route(request(path, key))
    assert raised.value.status == status


def test_upstream_is_suspected_after_two_timeouts() -> None:
    clock = Clock()
    suspicions = Suspicions(clock)
    suspicions.record_failure('a', Reason.upstream_timeout)
    assert not suspicions.is_suspected('a')
    assert suspicions.suspected_upstreams == ('a',)
    suspicions.record_failure('a', Reason.upstream_timeout)
    assert suspicions.is_suspected('a')
    suspicions.clear('a')
    assert not suspicions.is_suspected('a')


def test_leader_of_no_group_is_suspected_at_once() -> None:
    """Its load is low, so that it would be chosen again and again."""
    clock = Clock()
    suspicions = Suspicions(clock)
    suspicions.record_failure('a', Reason.upstream_moved)
    assert suspicions.is_suspected('a')
    clock.now_s = 3
    assert not suspicions.is_suspected('a')
