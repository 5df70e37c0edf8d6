"""The directory removes entries of daemons that are gone, and no others."""

import json

import pytest

from cowslipstep.daemon._directory import Directory, owns_page
from cowslipstep.daemon._silent_daemons import SILENT_AFTER_S
from cowslipstep.daemon._state import DaemonState
from cowslipstep.model import Address, DaemonEntry, GossipedLiveness
from cowslipstep.platform import ObjectKey, StoredObject, VersionConflict
from cowslipstep.settings import DaemonSettings, unstructure

PAGE_KEY = ObjectKey('daemons', 'ebene')
GONE = DaemonEntry('gone', Address('127.0.0.1', 90), 'ebene', 3)


class MemoryPlatform:
    """Stores pages; an update must name the version that it replaces."""

    def __init__(self):
        page = {'daemons': [unstructure(GONE)], 'attempt': ''}
        self.stored = {PAGE_KEY: StoredObject(PAGE_KEY, 1, json.dumps(page))}
        self.writes = 0

    def read_all(self, kind):
        return tuple(self.stored.values())

    def update_verified(self, key, version, body, attempt_id):
        missing = StoredObject(key, 0, '')
        if version != self.stored.get(key, missing).version:
            raise VersionConflict(str(key))
        self.writes += 1
        self.stored[key] = StoredObject(key, version + 1, body)

    def names(self):
        page = json.loads(self.stored[PAGE_KEY].body)
        return [entry['name'] for entry in page['daemons']]


class Clock:
    """A clock that a test sets."""

    def __init__(self):
        self.now_s = 1000

    def __call__(self):
        return self.now_s


def receive_heartbeat(state, name, incarnation):
    state.membership.liveness.record(GossipedLiveness(name, incarnation, 0))


def open_daemon(platform, number):
    address = Address('127.0.0.1', number)
    settings = DaemonSettings(f'd{number}', 'ebene', address, address, address)
    return DaemonState(settings, platform)


@pytest.fixture
def platform():
    return MemoryPlatform()


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def states(platform):
    first, second = (open_daemon(platform, number) for number in range(2))
    for state, other in ((first, second), (second, first)):
        own = other.membership.own
        state.membership.known.add(own)
        receive_heartbeat(state, own.name, own.incarnation)
    return [first, second]


def refresh_all(directories):
    for directory in directories:
        directory.refresh()


def test_entries_of_silent_daemons_are_removed(platform, states, clock):
    directories = [Directory(state, clock) for state in states]
    refresh_all(directories)
    clock.now_s += SILENT_AFTER_S
    refresh_all(directories)
    assert platform.names() == ['gone', 'd0', 'd1']
    clock.now_s += 1
    refresh_all(directories * 2)
    assert platform.names() == ['d0', 'd1']
    known = [set(state.membership.others) for state in states]
    assert known == [{'d1'}, {'d0'}]


def test_refresh_without_a_change_writes_nothing(platform, states, clock):
    states.sort(key=lambda state: owns_page(state, 'ebene'), reverse=True)
    directories = [Directory(state, clock) for state in states]
    refresh_all(directories)
    for _ in range(3):
        clock.now_s += SILENT_AFTER_S + 1
        refresh_all(directories)
    assert platform.names() == [state.settings.name for state in states]
    assert platform.writes == 3


def test_only_the_owner_of_a_page_removes_entries(platform, states, clock):
    other = next(state for state in states if not owns_page(state, 'ebene'))
    directory = Directory(other, clock)
    directory.refresh()
    clock.now_s += SILENT_AFTER_S + 1
    directory.refresh()
    assert 'gone' in platform.names()
    assert 'gone' in other.membership.others


def test_a_daemon_with_a_recent_heartbeat_stays(platform, states, clock):
    directories = [Directory(state, clock) for state in states]
    refresh_all(directories)
    clock.now_s += SILENT_AFTER_S + 1
    for state in states:
        receive_heartbeat(state, GONE.name, GONE.incarnation)
    refresh_all(directories)
    assert 'gone' in platform.names()


def test_a_running_daemon_lists_itself_again(platform, states, clock):
    refresh_all([Directory(state, clock) for state in states])
    unreachable = open_daemon(platform, 2)
    Directory(unreachable, clock).refresh()
    owner = next(state for state in states if owns_page(state, 'ebene'))
    directory = Directory(owner, clock)
    directory.refresh()
    clock.now_s += SILENT_AFTER_S + 1
    directory.refresh()
    assert 'd2' not in platform.names()
    Directory(unreachable, clock).refresh()
    assert 'd2' in platform.names()
