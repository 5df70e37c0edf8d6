"""Status objects of all daemons of a sample day."""

from __future__ import annotations

import datetime
import random
from collections.abc import Iterator

from _sample_figures import DaemonFigures
from _sample_groups import group_downtime, group_events
from _sample_plan import DayPlan
from _sample_requests import SLOTS, SeededDay
from _sample_totals import count_fleet
from attrs import evolve, frozen

from cowslipstep.metrics import TIMELINE_SLOT_S, DaemonIdentity, Status
from cowslipstep.model import Configuration

DAY = '2026-12-04'
_MIDNIGHT = datetime.datetime.fromisoformat(f'{DAY}T00:00:00+00:00')
_MIDNIGHT_UNIX_S = _MIDNIGHT.timestamp()
_SEED = 20261204
_DAEMONS = 9
_LAST_WRITE_S = SLOTS * TIMELINE_SLOT_S
_PERIOD_S = 60
_MAX_RECORDS = 200


@frozen
class _Run:
    """One run of a daemon, from and until a time of the day in seconds."""

    number: int
    incarnation: int
    begin_s: int
    end_s: int

    def covers(self, slot: int) -> bool:
        """Whether a slot begins within the run."""
        return self.begin_s <= slot * TIMELINE_SLOT_S < self.end_s


def sample_statuses(
    configuration: Configuration,
    plan: DayPlan,
) -> tuple[Status, ...]:
    """Return the last status of each run of each daemon."""
    figures = _figures(SeededDay(configuration, plan, random.Random(_SEED)))
    first, *others = figures
    count_fleet(configuration, plan, figures[first].counters)
    owner = _with_groups(_status(first, figures[first]), configuration, plan)
    return (owner, *[_status(run, figures[run]) for run in others])


def _figures(day: SeededDay) -> dict[_Run, DaemonFigures]:
    figures = {
        run: DaemonFigures(day.rng, _MIDNIGHT_UNIX_S) for run in _runs(day.plan)
    }
    for cell in day.cells():
        able = [run for run in figures if run.covers(cell.slot)]
        figures[day.rng.choice(able)].note(cell)
    return figures


def _with_groups(
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


def _runs(plan: DayPlan) -> Iterator[_Run]:
    lost = plan.lost_daemon
    for number in range(_DAEMONS):
        if number == lost.number:
            yield _Run(number, 1, 0, lost.at_s)
            yield _Run(number, 2, lost.next_at_s, _LAST_WRITE_S)
        else:
            yield _Run(number, 1, 0, _LAST_WRITE_S)


def _status(run: _Run, figures: DaemonFigures) -> Status:
    address = f'10.0.0.{run.number}:8080'
    return Status(
        DaemonIdentity(f'd{run.number}', run.incarnation, '', address),
        DAY,
        since_unix_s=_MIDNIGHT_UNIX_S + run.begin_s,
        written_at_unix_s=_MIDNIGHT_UNIX_S + run.end_s,
        period_s=_PERIOD_S,
        counters=figures.counters.samples,
        histograms=tuple(figures.histograms.encode_each()),
        requests=tuple(figures.records[-_MAX_RECORDS:]),
        timeline=tuple(figures.slots),
        answered_tokens=tuple(figures.tokens),
    )
