"""Status objects of all daemons of a sample day."""

from __future__ import annotations

import datetime
import random
from collections.abc import Iterator

from _sample_daemon import DaemonFigures
from _sample_groups import group_downtime, group_events
from _sample_plan import DayPlan
from _sample_requests import SLOTS_PER_DAY, SeededDay
from _sample_totals import add_day_totals
from attrs import evolve, frozen

from cowslipstep.metrics import TIMELINE_SLOT_S, DaemonIdentity, Status
from cowslipstep.model import Configuration

DAY = '2026-12-04'
_MIDNIGHT = datetime.datetime.fromisoformat(f'{DAY}T00:00:00+00:00')
_MIDNIGHT_UNIX_S = _MIDNIGHT.timestamp()
_SEED = 20261204
_DAEMON_COUNT = 9
_DAY_S = SLOTS_PER_DAY * TIMELINE_SLOT_S
_STATUS_PERIOD_S = 60
_MAX_REQUEST_RECORDS = 200


@frozen
class _DaemonRun:
    """One run of a daemon; its times are seconds since midnight."""

    number: int
    incarnation: int
    begin_s: int
    end_s: int

    def covers(self, slot: int) -> bool:
        """Whether a time slot begins within the run."""
        return self.begin_s <= slot * TIMELINE_SLOT_S < self.end_s


def sample_statuses(
    configuration: Configuration,
    plan: DayPlan,
) -> tuple[Status, ...]:
    """Return the last status of each run of each daemon."""
    figures = _draw_figures(
        SeededDay(configuration, plan, random.Random(_SEED))
    )
    first, *others = figures
    add_day_totals(configuration, plan, figures[first].counters)
    first_status = _with_group_events(
        _status(first, figures[first]), configuration, plan
    )
    return (first_status, *[_status(run, figures[run]) for run in others])


def _draw_figures(day: SeededDay) -> dict[_DaemonRun, DaemonFigures]:
    figures = {
        run: DaemonFigures(day.rng, _MIDNIGHT_UNIX_S)
        for run in _daemon_runs(day.plan)
    }
    for counts in day.request_counts():
        running = [run for run in figures if run.covers(counts.slot)]
        figures[day.rng.choice(running)].record_requests(counts)
    return figures


def _with_group_events(
    status: Status,
    configuration: Configuration,
    plan: DayPlan,
) -> Status:
    lost = plan.lost_groups
    model = configuration.models[0].name
    return evolve(
        status,
        events=tuple(group_events(lost, _MIDNIGHT_UNIX_S)),
        downtime=tuple(group_downtime(lost, model)),
    )


def _daemon_runs(plan: DayPlan) -> Iterator[_DaemonRun]:
    lost = plan.lost_daemon
    for number in range(_DAEMON_COUNT):
        if number == lost.number:
            yield _DaemonRun(number, 1, 0, lost.at_s)
            yield _DaemonRun(number, 2, lost.next_at_s, _DAY_S)
        else:
            yield _DaemonRun(number, 1, 0, _DAY_S)


def _status(run: _DaemonRun, figures: DaemonFigures) -> Status:
    address = f'10.0.0.{run.number}:8080'
    return Status(
        DaemonIdentity(f'd{run.number}', run.incarnation, '', address),
        DAY,
        since_unix_s=_MIDNIGHT_UNIX_S + run.begin_s,
        written_at_unix_s=_MIDNIGHT_UNIX_S + run.end_s,
        period_s=_STATUS_PERIOD_S,
        counters=figures.counters.samples,
        histograms=tuple(figures.histograms.encode_each()),
        requests=tuple(figures.records[-_MAX_REQUEST_RECORDS:]),
        timeline=tuple(figures.timeline),
        answered_tokens=tuple(figures.answered_tokens),
    )
