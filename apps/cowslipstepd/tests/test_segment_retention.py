"""Tests of the deletion of expired segments."""

from __future__ import annotations

import time
from types import SimpleNamespace

import pytest

from cowslipstep.daemon._segment_retention import SegmentRetention
from cowslipstep.daemon._segment_store import SegmentStore
from cowslipstep.daemon._state import DaemonState
from cowslipstep.delivery import TIME_SLOT_S, expired_time_slots, segment_name
from cowslipstep.model import NotRun, Reason
from cowslipstep.platform import (
    ObjectKey,
    ObjectMissing,
    PlatformUnavailable,
    StoredObject,
)

RETENTION_S = 3600
STEPS = 10


class MemoryPlatform:
    """Holds objects in memory; each read fails while it is down."""

    def __init__(self, names: list[str]) -> None:
        self.names = set(names)
        self.down = False

    def read(self, key: ObjectKey) -> StoredObject:
        if self.down:
            raise PlatformUnavailable(NotRun(Reason.platform_down), 'down')
        if key.name not in self.names:
            raise ObjectMissing(str(key))
        return StoredObject(key, 1, '{}')

    def delete(self, key: ObjectKey, version: int) -> None:
        self.names.remove(key.name)


@pytest.fixture
def expired() -> list[str]:
    slots = expired_time_slots(time.time(), RETENTION_S, 10 * TIME_SLOT_S)
    return [segment_name(slot, 3) for slot in slots]


@pytest.fixture
def live() -> list[str]:
    issued = int((time.time() - RETENTION_S) // TIME_SLOT_S)
    return [segment_name(issued, 3), segment_name(issued + 30, 0)]


def retention(platform: MemoryPlatform, owner: str = 'd0') -> SegmentRetention:
    state = SimpleNamespace(
        configuration=SimpleNamespace(key_retention_s=RETENTION_S),
        live_daemons=(owner,),
        settings=SimpleNamespace(name='d0'),
        owns=lambda name: DaemonState.owns(state, name),
    )
    return SegmentRetention(state, SegmentStore(platform))


def test_only_expired_segments_are_deleted(expired, live):
    platform = MemoryPlatform(expired + live)
    deleter = retention(platform)
    for _ in range(STEPS):
        deleter.step()
    assert platform.names == set(live)


def test_an_outage_only_delays_the_deletion(expired, live):
    platform = MemoryPlatform(expired + live)
    platform.down = True
    deleter = retention(platform)
    deleter.step()
    assert platform.names == set(expired + live)
    platform.down = False
    for _ in range(STEPS):
        deleter.step()
    assert platform.names == set(live)


def test_only_the_owner_deletes(expired, live):
    platform = MemoryPlatform(expired + live)
    retention(platform, owner='d1').step()
    assert platform.names == set(expired + live)
