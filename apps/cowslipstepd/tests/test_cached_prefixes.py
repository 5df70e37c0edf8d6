"""Parsing of the cache events that engines publish."""

from __future__ import annotations

import pytest

from cowslipstep.daemon._completion_requests import _prefix_hash
from cowslipstep.daemon._cached_prefixes import parse_prefixes
from cowslipstep_standins._delayed_telemetry import CacheEvents


def test_hashes_equal_those_computed_for_requests() -> None:
    events = CacheEvents()
    older, newer = 'defect notes ' * 9, 'span summary'
    events.record(older, 0)
    events.record(newer, 0)
    stored = [{'prefix': event.prefix} for event in events.published(0, 2)]
    hashes = list(parse_prefixes({'stored': stored}))
    assert hashes == [_prefix_hash(newer), _prefix_hash(older)]


@pytest.mark.parametrize('stored', [None, 3, [{}], [{'prefix': 'x'}]])
def test_invalid_documents_are_refused(stored) -> None:
    with pytest.raises(ValueError):
        list(parse_prefixes({'stored': stored}))
