"""Tests of the location of ledger entries."""

from __future__ import annotations

import uuid

from cowslipstep.delivery import (
    EntryLocation,
    ExpiredKey,
    FutureKey,
    locate_key,
)

DAY_S = 86400
NOW_UNIX_S = 1_800_000_000


def uuid7_key(unix_s: int) -> str:
    issued = (unix_s * 1000) << 80
    version = 7 << 76
    variant = 2 << 62
    return str(uuid.UUID(int=issued + version + variant))


def locate(key: str, now_unix_s: float = NOW_UNIX_S):
    return locate_key('joiners', key, now_unix_s, DAY_S)


def test_a_key_has_one_location_at_any_time():
    for key in ('order 1', str(uuid.UUID(int=5)), uuid7_key(NOW_UNIX_S)):
        later = locate(key, NOW_UNIX_S + DAY_S - 1)
        assert isinstance(later, EntryLocation)
        assert locate(key) == later


def test_keys_of_one_minute_share_segments():
    keys = map(uuid7_key, range(NOW_UNIX_S, NOW_UNIX_S + 9))
    segments = {locate(key).segment for key in keys}
    assert len(segments) <= 16
    assert all(segment.startswith('slot-') for segment in segments)


def test_a_key_past_the_retention_is_expired():
    assert locate(uuid7_key(NOW_UNIX_S - DAY_S - 1)) == ExpiredKey()


def test_a_key_from_the_future_is_refused():
    assert locate(uuid7_key(NOW_UNIX_S + DAY_S)) == FutureKey()


def test_workspaces_do_not_share_keys():
    other = locate_key('coopers', 'order 1', NOW_UNIX_S, DAY_S)
    assert other.digest != locate('order 1').digest
