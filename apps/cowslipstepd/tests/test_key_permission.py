"""Withdrawn keys are refused everywhere in time, also without the platform."""

from __future__ import annotations

import math
import types

import pytest
from _route_cases import ROUTE
from attrs import evolve
from hypothesis import given
from hypothesis import strategies as st

from cowslipstep.fleet import (
    CallerLimits,
    CallerRequest,
    KeyIdentity,
    ServingConfiguration,
)
from cowslipstep.model import DocumentError, NotRun, Permission, Reason
from cowslipstep.model.loads import LoadReport
from cowslipstep.platform import (
    HistoryGone,
    KindChanges,
    ObjectKey,
    ObjectPage,
    PlatformUnavailable,
    StoredObject,
)
from cowslipstep.serving import (
    _key_confirmation,
    _key_permission,
    _kind_watch,
    _peer_catch_up,
)
from cowslipstep.serving._configuration_in_force import ConfigurationInForce
from cowslipstep.settings import ServingBounds

LIFETIME_S = 5
REQUEST = CallerRequest('i', ROUTE.host, 'GET', '/quotes/1', (), b'', key='k')
ANONYMOUS = evolve(REQUEST, key=None)
CONFIRMED = Permission(LIFETIME_S, confirmed_at_s=100)


def decode(document: str) -> ServingConfiguration:
    """Decode a version, and the keys of that version."""
    if document == 'broken':
        raise DocumentError('configuration', document)
    version, key = document.split()
    return ServingConfiguration(
        version=int(version),
        routes=(evolve(ROUTE, anonymous=True),),
        services={},
        limits=CallerLimits(1000),
        keys={key: KeyIdentity('w')},
        requires_keys=True,
    )


def in_force(*documents: str) -> ConfigurationInForce:
    configuration = ConfigurationInForce(decode)
    for document in documents:
        configuration.update(document)
    return configuration


@given(*(st.floats(0, 100) for _ in range(4)))
def test_withdrawn_key_is_refused_in_time(
    confirmed_s: float,
    unseen_s: float,
    sent_s: float,
    lifetime_s: float,
) -> None:
    """No request that is sent later than the bound after a withdrawal passes.

    The withdrawal is not known to the daemon, so it came after its last
    confirmation.
    """
    withdrawn_s = confirmed_s + unseen_s
    received_s = withdrawn_s + lifetime_s + sent_s
    assert not Permission(lifetime_s, confirmed_s).holds(received_s)


KEY_CASES = (
    (REQUEST, ['1 k'], CONFIRMED, 104, None),
    (REQUEST, ['1 k'], CONFIRMED, 105, Reason.keys_unconfirmed),
    (REQUEST, ['1 k'], Permission(5), 0, Reason.keys_unconfirmed),
    (REQUEST, ['1 k', '2 l'], CONFIRMED, 104, Reason.unauthorized),
    (REQUEST, ['1 k'], Permission(math.inf), 0, None),
    (ANONYMOUS, ['1 k'], CONFIRMED, 500, None),
)


@pytest.mark.parametrize(
    ('request_sent', 'documents', 'permission', 'now_s', 'reason'), KEY_CASES
)
def test_key_of_a_request_is_checked_again(
    request_sent, documents, permission, now_s, reason
) -> None:
    routed = in_force(documents[0]).table.route(request_sent)
    table = in_force(*documents).table
    refusal = _key_permission.key_refusal(routed, table, permission, now_s)
    assert (refusal and refusal.reason) is reason


def test_undecodable_version_is_no_confirmation() -> None:
    configuration = in_force('1 k')
    configuration.freshness.confirm(10)
    configuration.update('broken')
    configuration.freshness.confirm(20)
    assert configuration.freshness.confirmed_at_s == 10
    configuration.update('2 k')
    configuration.freshness.confirm(30)
    assert configuration.freshness.confirmed_at_s == 30


class Store:
    """A store whose calls take a second each, and which fails from then on."""

    def __init__(self, clock: Clock, failing_from_s: float) -> None:
        self._clock = clock
        self._failing_from_s = failing_from_s

    def list_kind(self, _kind: str, *, stale: bool) -> ObjectPage:
        """Return the objects as they were at the start of the call."""
        self._clock.now_s += 1
        self._raise_if_failing()
        return ObjectPage((), '', 1)

    def watch_kind(self, *_arguments) -> KindChanges:
        """Return no changes after the wait."""
        self._clock.now_s += 1
        self._raise_if_failing()
        return KindChanges((), 1)

    def _raise_if_failing(self) -> None:
        if self._clock.now_s > self._failing_from_s:
            raise PlatformUnavailable(NotRun(Reason.platform_down), 'down')


class Clock:
    """A simulated clock, on which sleep ends the test after its time."""

    def __init__(self) -> None:
        self.now_s: float = 100

    def sleep(self, delay_s: float) -> None:
        """Advance the clock."""
        self.now_s += delay_s
        if self.now_s > 120:
            raise StopIteration


LIST_CASES = ((True, []), (False, [100]))


@pytest.mark.parametrize(('stale', 'listed_at_s'), LIST_CASES)
def test_watch_confirms_the_time_before_its_calls(
    monkeypatch, stale: bool, listed_at_s: list[float]
) -> None:
    clock = Clock()
    monkeypatch.setattr(_kind_watch, 'boot_time_s', lambda: clock.now_s)
    monkeypatch.setattr(_kind_watch, 'eventlet', clock)
    observer = types.SimpleNamespace(
        replace=lambda _page: None,
        apply=lambda _changes: None,
        on_outage=lambda: None,
    )
    confirmed: list[float] = []
    schedule = _kind_watch.WatchSchedule(
        lambda: 1,
        bool,
        first_may_be_stale=stale,
        confirm=confirmed.append,
    )
    store = Store(clock, failing_from_s=107)
    with pytest.raises(StopIteration):
        _kind_watch.KindWatch(store, 'k', observer, schedule).run()
    # A stale list confirms nothing.
    assert confirmed == [*listed_at_s, 102, 104, 106]


class Peer:
    """A daemon with a configuration that was confirmed at some time."""

    is_follower = True

    def __init__(self, *documents: str, confirmed_at_s: float) -> None:
        self.configuration = in_force(*documents)
        self.configuration.freshness.confirm(confirmed_at_s)
        self.settings = types.SimpleNamespace(
            bounds=ServingBounds(revocation_s=LIFETIME_S)
        )
        self.relay_role = types.SimpleNamespace(
            relies_on_relay=self.is_follower
        )


@pytest.mark.parametrize(
    ('relay_document', 'confirmed_s'),
    [
        # The relay's confirmation was 2 s old when the query came.
        ('1 k', 98),
        ('2 l', 98),
        # It could not decode the newest version.
        ('broken', 10),
    ],
)
@pytest.mark.parametrize('is_follower', [True, False])
def test_peer_passes_on_the_age_of_confirmation(
    monkeypatch, relay_document, confirmed_s, is_follower
) -> None:
    monkeypatch.setattr(Peer, 'is_follower', is_follower)
    relay = Peer('1 k', relay_document, confirmed_at_s=113)
    follower = Peer('1 k', confirmed_at_s=10)
    clock = Clock()
    monkeypatch.setattr(_peer_catch_up, 'boot_time_s', lambda: clock.now_s)

    def call(query, _timeout_s):  # noqa: WPS430
        # The clocks of the hosts differ, and the reply takes a second.
        clock.now_s = 115
        copy = _peer_catch_up.copy_configuration(relay, query.known_version)
        clock.now_s = 101
        return copy

    monkeypatch.setattr(
        _peer_catch_up.eventlet, 'spawn', lambda run, *args: run(*args)
    )
    _peer_catch_up.PeerCatchUp(follower).start(
        LoadReport('relay', 1, 1), types.SimpleNamespace(call=call)
    )
    assert follower.configuration.freshness.confirmed_at_s == confirmed_s
    assert follower.configuration.version == relay.configuration.version


class ForgetfulStore:
    """A store that has discarded its history, with one configuration."""

    def watch_kind(self, *_arguments, wait_s: float) -> KindChanges:
        """Refuse the watch."""
        raise HistoryGone('watch')

    def list_kind(self, kind: str) -> ObjectPage:
        """Return the configuration."""
        stored = StoredObject(ObjectKey(kind, 'main'), 9, '2 l')
        return ObjectPage((stored,), '', 9)


def test_keys_are_confirmed_without_history(monkeypatch) -> None:
    clock = Clock()
    monkeypatch.setattr(_key_confirmation, 'boot_time_s', lambda: clock.now_s)
    monkeypatch.setattr(_key_permission, 'boot_time_s', lambda: clock.now_s)
    monkeypatch.setattr(_key_confirmation, 'eventlet', clock)
    daemon = Peer('1 k', confirmed_at_s=100)
    daemon.configuration.freshness.advance(5)
    daemon.platform = ForgetfulStore()
    daemon.dialects = types.SimpleNamespace(
        configuration_key=ObjectKey('config', 'main')
    )
    with pytest.raises(StopIteration):
        _key_confirmation.KeyConfirmation(daemon).run()
    assert daemon.configuration.version == 2
    assert daemon.configuration.freshness.confirmed_at_s > 115
