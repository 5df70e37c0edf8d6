"""A conditional change is verified by a read if its response is lost."""

import itertools

import pytest
from attrs import define, field

from cowslipstep.model import MayHaveRun, NotRun, Reason
from cowslipstep.platform import (
    ObjectKey,
    PlatformUnavailable,
    StoredObject,
    VersionConflict,
)
from cowslipstep.platform._verified_change import (
    ConditionalChange,
    change_verified,
)

KEY = ObjectKey('orders', 'a')
CHANGE = ConditionalChange(KEY, 3, '{"attempt": "mine"}', 'mine')


UNKNOWN = MayHaveRun(Reason.platform_down)
REFUSED = NotRun(Reason.platform_down)


def unavailable(verdict=UNKNOWN):
    return PlatformUnavailable(verdict, 'no response')


@define
class FakeObjects:
    """One object; ``events`` says which failure each change meets."""

    events: list[str]
    version: int = 3
    body: str = '{}'
    writes: int = 0
    seen: list[str] = field(factory=list)

    def read(self, key):
        return StoredObject(key, self.version, self.body)

    def create(self, key, body):
        return self.update(key, 0, body)

    def update(self, key, version, body):
        event = self.events.pop(0) if self.events else 'ok'
        if event in {'refused', 'lost before'}:
            raise unavailable(REFUSED if event == 'refused' else UNKNOWN)
        if version != self.version:
            raise VersionConflict('conflict')
        self.version += 1
        self.body = body
        self.writes += 1
        if event == 'overwritten':
            self.version += 1
            self.body = '{"attempt": "other"}'
        if event != 'ok':
            raise unavailable()
        return self.version


@pytest.mark.parametrize(
    'events',
    [
        [],
        ['lost after'],
        ['lost before'],
        ['lost before', 'lost after'],
        ['refused', 'lost after'],
    ],
)
def test_change_is_made_once(events):
    fake = FakeObjects(events)
    assert change_verified(fake, CHANGE) == 4
    assert (fake.writes, fake.body) == (1, CHANGE.body)


def test_another_change_came_first():
    with pytest.raises(VersionConflict):
        change_verified(FakeObjects([], version=7), CHANGE)


def test_overwritten_change_is_uncertain():
    with pytest.raises(PlatformUnavailable) as caught:
        change_verified(FakeObjects(['overwritten']), CHANGE)
    assert isinstance(caught.value.verdict, MayHaveRun)


@pytest.mark.parametrize(
    ('event', 'verdict'),
    [('refused', NotRun), ('lost before', MayHaveRun)],
)
def test_timeout_error_has_the_right_verdict(event, verdict):
    with pytest.raises(PlatformUnavailable) as caught:
        change_verified(
            FakeObjects(list(itertools.repeat(event, 50))),
            CHANGE,
            timeout_s=0.3,
        )
    assert isinstance(caught.value.verdict, verdict)


def test_the_body_must_contain_the_attempt_id():
    with pytest.raises(ValueError, match='attempt id'):
        ConditionalChange(KEY, 1, '{}', 'mine')
