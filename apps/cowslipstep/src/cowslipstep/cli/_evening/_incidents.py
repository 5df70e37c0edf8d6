"""What happened, in order of time."""

from __future__ import annotations

from collections.abc import Iterator

from cowslipstep.cli._evening._facts import Facts
from cowslipstep.cli._evening._numbers import duration_text
from cowslipstep.cli._evening._parts import Section, Table
from cowslipstep.cli._evening._times import clock_text
from cowslipstep.metrics import Day, Event, Status

_MAX_ROWS = 200
_LOST_PERIODS = 3
_HEAD = ('time', 'what', 'to what', 'cause')


def incident_section(facts: Facts) -> Section:
    """Return the events of all daemons, and daemons that fell silent."""
    events = all_events(facts.day)
    rows = [
        (clock_text(event.at_unix_s), event.kind, event.subject, event.cause)
        for event in events[-_MAX_ROWS:]
    ]
    return Section(
        'Incidents',
        tables=(Table('In order of time, UTC', _HEAD, tuple(rows)),),
    )


def all_events(day: Day) -> list[Event]:
    """Return the events of a day and its silent daemons, by time."""
    return sorted(
        [*day.events, *_lost_daemons(day.statuses)],
        key=lambda event: event.at_unix_s,
    )


def _lost_daemons(statuses: tuple[Status, ...]) -> Iterator[Event]:
    last = max((status.written_at_unix_s for status in statuses), default=0)
    for status in statuses:
        silent_s = last - status.written_at_unix_s
        if status.stopping or silent_s < status.period_s * _LOST_PERIODS:
            continue
        period = duration_text(status.period_s)
        yield Event(
            'daemon_silent',
            status.daemon.name,
            f'no status since; figures of up to {period} are missing',
            status.written_at_unix_s,
        )
