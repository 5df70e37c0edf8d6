"""Readiness reports: the list of ready groups once, then short renewals."""

from __future__ import annotations

import zlib
from collections.abc import Iterable

from cowslipstep.model import GroupReadiness, ReadinessReport

_MAX_RENEWAL_SPREAD_S = 0.25


def make_readiness_report(
    readiness: Iterable[GroupReadiness],
    known_group_list: int,
) -> ReadinessReport:
    """Return the report for a receiver that has list ``known_group_list``.

    Groups whose remaining time is close to the longest one are renewed
    together, by the shortest time among them; each other group is listed
    as an exception with its own time.

    Examples
    --------
    >>> ready = [GroupReadiness('a-1', 1.5), GroupReadiness('a-2', 0)]
    >>> first = make_readiness_report(ready, known_group_list=0)
    >>> first.groups, first.common_remaining_s
    (('a-1', 'a-2'), 1.5)
    >>> make_readiness_report(ready, known_group_list=first.list_number).groups
    ()
    """
    remaining = {entry.group: entry.remaining_s for entry in readiness}
    if not remaining:
        return ReadinessReport()
    groups = tuple(sorted(remaining))
    list_number = _list_number_of(groups)
    renewal_floor_s = max(remaining.values()) - _MAX_RENEWAL_SPREAD_S
    renewed_s = [
        remaining_s
        for remaining_s in remaining.values()
        if remaining_s >= renewal_floor_s
    ]
    return ReadinessReport(
        list_number,
        () if list_number == known_group_list else groups,
        min(renewed_s),
        tuple(
            GroupReadiness(group, remaining[group])
            for group in groups
            if remaining[group] < renewal_floor_s
        ),
    )


class ReadinessReportReader:
    """Reads the reports of one peer; keeps the last list of groups it sent.

    Examples
    --------
    >>> reader = ReadinessReportReader()
    >>> sent = make_readiness_report(
    ...     [GroupReadiness('a-1', 1.5)], reader.list_number
    ... )
    >>> reader.read(sent)
    (GroupReadiness(group='a-1', remaining_s=1.5),)
    """

    def __init__(self) -> None:
        self._list_number = 0
        self._groups: tuple[str, ...] = ()

    @property
    def list_number(self) -> int:
        """Number of the list that was received last; zero for none."""
        return self._list_number

    def read(self, report: ReadinessReport) -> tuple[GroupReadiness, ...]:
        """Return the readiness of the groups that a report renews.

        If the report refers to a list that was not received, only its
        exceptions are returned.
        """
        if report.groups:
            self._list_number = report.list_number
            self._groups = report.groups
        if report.list_number != self._list_number:
            return report.exceptions
        excepted = {entry.group for entry in report.exceptions}
        renewed = [
            GroupReadiness(group, report.common_remaining_s)
            for group in self._groups
            if group not in excepted
        ]
        return (*renewed, *report.exceptions)


def _list_number_of(groups: tuple[str, ...]) -> int:
    return zlib.crc32('\0'.join(groups).encode()) or 1
