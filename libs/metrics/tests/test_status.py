"""Status objects store the metrics of a day and can be merged over daemons."""

from __future__ import annotations

import pytest
from attrs import evolve
from hypothesis import given, settings
from hypothesis import strategies as st

from cowslipstep.metrics import (
    OTHER_WORKSPACES,
    CounterKey,
    Counters,
    DaemonIdentity,
    EventLog,
    Histograms,
    Series,
    TimeSlotCount,
    TimeSlotKey,
    Status,
    decode_status,
    encode_bounded,
    encode_status,
    merge_day,
)
from cowslipstep.model import DocumentError

_DAY = '2026-12-04'
_WORKSPACES = 40


def _requests(workspace: str) -> CounterKey:
    return CounterKey(
        'requests',
        (('workspace', workspace), ('rank', 'urgent')),
    )


def _status(incarnation: int = 1) -> Status:
    counters = Counters()
    histograms = Histograms()
    events = EventLog()
    events.add('lease_taken', 'ebene', 'it had lapsed')
    for index in range(_WORKSPACES):
        series = Series('total', f'firm-{index}', 'urgent')
        histograms.record(series, 0.1)
        counters.add(_requests(series.workspace), index + 1)
    return Status(
        DaemonIdentity('d0', incarnation, 'ebene', '127.0.0.1:80'),
        _DAY,
        since_unix_s=0,
        written_at_unix_s=1,
        period_s=60,
        counters=counters.samples,
        histograms=tuple(histograms.encode_each()),
        events=events.events,
        timeline=(TimeSlotCount(TimeSlotKey(1, 'urgent', 'completed'), 3),),
    )


def test_a_status_decodes_to_what_was_encoded() -> None:
    written = _status()
    assert decode_status(encode_status(written)) == written


def test_a_day_adds_up_all_runs_of_all_daemons() -> None:
    other_day = evolve(_status(), day='2026-12-03')
    day = merge_day(_DAY, [_status(1), _status(2), other_day])
    expected = _WORKSPACES * (_WORKSPACES + 1)
    assert day.total('requests', rank='urgent') == expected
    assert day.total('requests', workspace='firm-2') == 6
    assert day.histograms[Series('total', 'firm-2', 'urgent')].count == 2
    assert len(day.events) == 2


def test_a_shortened_status_has_the_same_totals() -> None:
    whole = _status()
    text = encode_bounded(whole, max_bytes=len(encode_status(whole)) // 3)
    assert len(text) <= len(encode_status(whole)) // 3
    day = merge_day(_DAY, [decode_status(text)])
    assert day.total('requests') == merge_day(_DAY, [whole]).total('requests')
    assert day.total('requests', workspace='firm-39') == _WORKSPACES
    aggregated = day.histograms[Series('total', OTHER_WORKSPACES, 'urgent')]
    assert aggregated.count + len(day.histograms) - 1 == _WORKSPACES


@settings(derandomize=True, deadline=None, max_examples=200)
@given(start=st.integers(0, 3000), inserted=st.binary(max_size=8))
def test_a_broken_status_raises_document_errors(
    start: int,
    inserted: bytes,
) -> None:
    text = encode_status(_status()).encode()
    head = text[:start]
    broken = head + inserted + text[start + 3 :]
    try:
        merge_day(_DAY, [decode_status(broken)])  # type: ignore[arg-type]
    except* DocumentError as group:
        assert group.exceptions


@pytest.mark.parametrize(
    ('text', 'escaped'),
    [('a"b', r'a\"b'), (chr(92), r'\\'), ('a\nb', r'a\nb')],
)
def test_labels_are_escaped(text: str, escaped: str) -> None:
    counters = Counters()
    counters.add(CounterKey('requests', (('workspace', text),)))
    kind, line = counters.render()
    assert kind.endswith(' counter')
    assert line.endswith(f'{{workspace="{escaped}"}} 1')
