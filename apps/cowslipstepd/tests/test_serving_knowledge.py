"""What a serving daemon knows through outages, and whom it suspects."""

from __future__ import annotations

import json

import pytest
from _route_cases import ROUTE

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
from cowslipstep.serving._configuration_feed import ConfigurationInForce
from cowslipstep.serving._runner_copies import copy_runners
from cowslipstep.serving._runner_follower import RunnerFollower
from cowslipstep.serving._runner_table import RunnerEntries, RunnerTable
from cowslipstep.serving._suspicions import Suspicions

LIMITS = CallerLimits(1000)
DOCUMENT_B = RunnerDocument('b', 'drafting')


class Clock:
    """A clock that is set by hand."""

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


def follow(entries: RunnerEntries) -> RunnerFollower:
    return RunnerFollower(entries, registration_s=60)


@pytest.fixture
def entries() -> RunnerEntries:
    return RunnerEntries(RunnerTable(), decode, list)


def test_missing_entry_is_dropped_at_once(entries: RunnerEntries) -> None:
    follower = RunnerFollower(entries, registration_s=60)
    follower.replace(page(1, 'a', 'b'))
    follower.replace(page(2, 'a'))
    assert set(entries.table.runners) == {'a'}


def test_missing_entry_stays_after_an_outage(entries: RunnerEntries) -> None:
    follower = RunnerFollower(entries, registration_s=60)
    follower.replace(page(1, 'a', 'b'))
    follower.lose()
    follower.replace(page(2, 'a'))
    assert set(entries.table.runners) == {'a', 'b'}
    assert not entries.table.lost


def test_broken_entry_names_no_runner(entries: RunnerEntries) -> None:
    follower = RunnerFollower(entries, registration_s=60)
    follower.replace(page(1, 'a'))
    follower.replace(page(2, 'a', document='broken'))
    assert not entries.table.runners


def test_copy_of_a_peer_is_taken_only_if_newer(entries: RunnerEntries) -> None:
    RunnerFollower(entries, registration_s=60).replace(page(5, 'a'))
    entries.take_copy(RunnersCopy(4, (), is_complete=True))
    assert set(entries.table.runners) == {'a'}
    entries.take_copy(RunnersCopy(6, (DOCUMENT_B,), is_complete=True))
    assert set(entries.table.runners) == {'b'}
    assert entries.table.revision == 6


def test_copy_tells_what_a_peer_misses(entries: RunnerEntries) -> None:
    follow(entries).replace(page(5, 'a', 'c'))
    entries.take_copy(RunnersCopy(8, (DOCUMENT_B,), ('c',)))
    assert set(entries.table.runners) == {'a', 'b'}
    assert copy_runners(entries.table, 5) == RunnersCopy(
        8,
        (DOCUMENT_B,),
        ('c',),
    )
    assert copy_runners(entries.table, 8) == RunnersCopy(8)


def test_copy_is_whole_for_a_peer_that_knows_less(
    entries: RunnerEntries,
) -> None:
    follow(entries).replace(page(5, 'b'))
    for known_revision in (0, 4):
        copy = copy_runners(entries.table, known_revision)
        assert copy == RunnersCopy(5, (DOCUMENT_B,), is_complete=True)


def test_late_drop_is_told_with_the_next_revision(
    entries: RunnerEntries,
) -> None:
    follower = RunnerFollower(entries, registration_s=60)
    follower.replace(page(5, 'a'))
    entries.drop('a')
    follower.apply(KindChanges((), 6))
    assert copy_runners(entries.table, 5).removed == ('a',)


def test_changes_that_a_peer_told_are_not_undone(
    entries: RunnerEntries,
) -> None:
    follower = RunnerFollower(entries, registration_s=60)
    follower.replace(page(5, 'a'))
    entries.take_copy(RunnersCopy(8, (), ('a',)))
    stored = StoredObject(ObjectKey('runners', 'a'), 6, 'drafting')
    follower.apply(KindChanges((ObjectChange(stored, removed=False),), 7))
    follower.replace(page(7, 'a'))
    assert not entries.table.runners


def configuration(text: str) -> ServingConfiguration:
    version = json.loads(text)
    if not isinstance(version, int):
        raise DocumentError('version', text)
    return ServingConfiguration(version, (ROUTE,), {}, LIMITS)


@pytest.mark.parametrize('later', ['3', '4', '"none"'])
def test_configuration_never_goes_back(later: str) -> None:
    in_force = ConfigurationInForce(configuration)
    in_force.take('4')
    in_force.take(later)
    assert (in_force.version, in_force.document) == (4, '4')


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
            keyed=True,
        ),
    )
    in_force.take('')
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


def test_upstream_is_suspected_after_two_silences() -> None:
    clock = Clock()
    suspicions = Suspicions(clock)
    suspicions.strike('a', Reason.upstream_timeout)
    assert not suspicions.holds('a')
    assert suspicions.doubts == ('a',)
    suspicions.strike('a', Reason.upstream_timeout)
    assert suspicions.holds('a')
    suspicions.clear('a')
    assert not suspicions.holds('a')


def test_head_that_left_is_avoided_for_a_while() -> None:
    """Its load looks low, so it would be chosen again and again."""
    clock = Clock()
    suspicions = Suspicions(clock)
    suspicions.strike('a', Reason.upstream_moved)
    assert suspicions.holds('a')
    clock.now_s = 3
    assert not suspicions.holds('a')
