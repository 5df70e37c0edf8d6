"""Readiness as a list of groups sent once, then short renewals."""

from __future__ import annotations

import zlib
from collections.abc import Iterable

from cowslipstep.model import GroupReadiness, ReadinessReport

_SPREAD_S = 0.25


def make_report(
    readiness: Iterable[GroupReadiness],
    known_table: int,
) -> ReadinessReport:
    """Return the report for a receiver that holds list ``known_table``.

    Groups whose time is close to the longest one are renewed together by
    the shortest time among them; the others are named as exceptions.

    Examples
    --------
    >>> ready = [GroupReadiness('a-1', 1.5), GroupReadiness('a-2', 0)]
    >>> first = make_report(ready, known_table=0)
    >>> first.groups, first.common_remaining_s
    (('a-1', 'a-2'), 1.5)
    >>> make_report(ready, known_table=first.list_number).groups
    ()
    """
    remaining = {entry.group: entry.remaining_s for entry in readiness}
    if not remaining:
        return ReadinessReport()
    groups = tuple(sorted(remaining))
    table = _table_number(groups)
    earliest_s = max(remaining.values()) - _SPREAD_S
    renewed = [rest for rest in remaining.values() if rest >= earliest_s]
    return ReadinessReport(
        table,
        () if table == known_table else groups,
        min(renewed),
        tuple(
            GroupReadiness(group, remaining[group])
            for group in groups
            if remaining[group] < earliest_s
        ),
    )


class ReportReader:
    """Holds the list of groups that a peer has sent.

    Examples
    --------
    >>> reader = ReportReader()
    >>> sent = make_report([GroupReadiness('a-1', 1.5)], reader.table)
    >>> reader.read(sent)
    (GroupReadiness(group='a-1', remaining_s=1.5),)
    """

    def __init__(self) -> None:
        self._table = 0
        self._groups: tuple[str, ...] = ()

    @property
    def table(self) -> int:
        """Number of the list that is held; zero for none."""
        return self._table

    def read(self, report: ReadinessReport) -> tuple[GroupReadiness, ...]:
        """Return the readiness that a report tells of."""
        if report.groups:
            self._table = report.list_number
            self._groups = report.groups
        if report.list_number != self._table:
            return report.exceptions
        excepted = {entry.group for entry in report.exceptions}
        renewed = [
            GroupReadiness(group, report.common_remaining_s)
            for group in self._groups
            if group not in excepted
        ]
        return (*renewed, *report.exceptions)


def _table_number(groups: tuple[str, ...]) -> int:
    return zlib.crc32('\0'.join(groups).encode()) or 1
