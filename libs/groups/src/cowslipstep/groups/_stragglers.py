"""Hosts that slow their groups down."""

from __future__ import annotations

import collections
import statistics
from collections.abc import Iterator, Mapping

from cowslipstep.groups._hosts import HostRecord, HostReport, HostState

_STRAGGLER_FACTOR = 4
_MIN_TO_COMPARE = 3


def stragglers(records: Mapping[str, HostRecord]) -> frozenset[str]:
    """Return hosts that are far slower than the others of their model."""
    by_model = collections.defaultdict(list)
    for report in _paced_reports(records):
        by_model[report.model].append(report)
    slow: set[str] = set()
    for reports in by_model.values():
        slow.update(_slow_hosts(reports))
    return frozenset(slow)


def _slow_hosts(reports: list[HostReport]) -> Iterator[str]:
    if len(reports) < _MIN_TO_COMPARE:
        return
    median_s = statistics.median(report.token_s for report in reports)
    for report in reports:
        if report.token_s > median_s * _STRAGGLER_FACTOR:
            yield report.host


def _paced_reports(records: Mapping[str, HostRecord]) -> Iterator[HostReport]:
    for record in records.values():
        report = record.report
        if report is None or not report.token_s:
            continue
        if report.state == HostState.ready:
            yield report
