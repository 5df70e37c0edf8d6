"""Section on incidents: events of daemons, in order of time."""

from __future__ import annotations

from collections.abc import Iterator

from cowslipstep.cli._evening_report._formatting import duration_text
from cowslipstep.cli._evening_report._report_input import ReportInput
from cowslipstep.cli._evening_report._sections import Section, Table
from cowslipstep.cli._evening_report._times import clock_text
from cowslipstep.metrics import Event, MergedDay, Status

_MAX_EVENT_ROWS = 200
_SILENT_AFTER_PERIODS = 3
_HEADER = ('time', 'what', 'to what', 'cause')


def incident_section(report_input: ReportInput) -> Section:
    """Return a table of the events of daemons, and of silent daemons."""
    events = list_events(report_input.day)
    rows = [
        (clock_text(event.at_unix_s), event.kind, event.subject, event.cause)
        for event in events[-_MAX_EVENT_ROWS:]
    ]
    return Section(
        'Incidents',
        tables=(Table('In order of time, UTC', _HEADER, tuple(rows)),),
    )


def list_events(day: MergedDay) -> list[Event]:
    """Return the events of a day, and one for each silent daemon, by time."""
    return sorted(
        [*day.events, *_silent_daemon_events(day.statuses)],
        key=lambda event: event.at_unix_s,
    )


def _silent_daemon_events(statuses: tuple[Status, ...]) -> Iterator[Event]:
    """Yield an event for each daemon that ceased to write without a stop."""
    last = max((status.written_at_unix_s for status in statuses), default=0)
    for status in statuses:
        silent_s = last - status.written_at_unix_s
        if (
            status.stopping
            or silent_s < status.period_s * _SILENT_AFTER_PERIODS
        ):
            continue
        period = duration_text(status.period_s)
        yield Event(
            'daemon_silent',
            status.daemon.name,
            f'no status since; figures of up to {period} are missing',
            status.written_at_unix_s,
        )
