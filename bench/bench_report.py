"""Cost of the evening report over the statuses of a large fleet."""

from __future__ import annotations

import resource
import time
from collections.abc import Iterator

from _figures import Figure
from _seeded_statuses import (
    DAY,
    PERIOD_S,
    RANKS,
    seeded_histograms,
    make_status,
)
from attrs import evolve

from cowslipstep.cli._evening_report import build_report, render_html
from cowslipstep.metrics import (
    StatusIndex,
    decode_index,
    decode_status,
    encode_bounded,
    encode_index,
    merge_day,
)
from cowslipstep.operator import build_configuration, rank

_WORKSPACE_COUNT = 10
_DAEMON_COUNT = 340
_MAX_WRITES_PER_S = 6
_MAX_INDEX_BYTES = 200000


def figures() -> Iterator[Figure]:
    """Yield time, memory and bytes of a report, and of reading the index."""
    texts = list(_status_texts())
    before_kb = _peak_memory_kb()
    begin_s = time.process_time()
    _build_report(texts)
    report_s = time.process_time() - begin_s
    yield Figure('report.cpu_s', report_s, 's')
    yield from _index_figures()
    yield Figure('report.bytes_read', sum(map(len, texts)), 'B')
    yield Figure('report.memory', _peak_memory_kb() - before_kb, 'KB')
    yield Figure(
        'status.writes_per_s',
        _DAEMON_COUNT / PERIOD_S,
        '1/s',
        _MAX_WRITES_PER_S,
    )


def _index_figures() -> Iterator[Figure]:
    texts = [encode_index(index) for index in _indexes()]
    begin_s = time.process_time()
    for text in texts:
        decode_index(text).is_live(PERIOD_S)
    index_s = time.process_time() - begin_s
    yield Figure('fleet_view.cpu_s', index_s, 's')
    size = sum(map(len, texts))
    yield Figure('fleet_view.bytes_read', size, 'B', _MAX_INDEX_BYTES)


def _indexes() -> Iterator[StatusIndex]:
    status = make_status(seeded_histograms(1))
    for number in range(_DAEMON_COUNT):
        identity = evolve(status.daemon, name=f'd{number}')
        today = evolve(status, daemon=identity).object_name
        names = (today, today)
        yield StatusIndex(identity, 0, PERIOD_S, statuses=names)


def _status_texts() -> Iterator[str]:
    status = make_status(seeded_histograms(_WORKSPACE_COUNT))
    for index in range(_DAEMON_COUNT):
        identity = evolve(status.daemon, name=f'd{index}')
        yield encode_bounded(evolve(status, daemon=identity))


def _build_report(texts: list[str]) -> None:
    day = merge_day(DAY, [decode_status(text) for text in texts])
    ranks = [rank(name, target_first_token_s=1) for name in RANKS]
    render_html(build_report(day, build_configuration(ranks=ranks)))


def _peak_memory_kb() -> int:
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
