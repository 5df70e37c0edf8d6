"""What each daemon of a replay knows of the load of the groups."""

from __future__ import annotations

import random
from operator import add, sub

from attrs import define, field

from cowslipstep.replay._event_scheduler import EventScheduler
from cowslipstep.replay.late_loads._cases import LateLoadCase


@define
class DaemonView:
    """The view of one daemon.

    Attributes
    ----------
    own
        Its own requests at each group, known at once.
    reported_own
        Its own requests at each group, as the reports have them.
    others
        Requests of all others at each group by the last report.
    received_s
        When this report arrived.
    """

    own: list[int]
    reported_own: list[int]
    others: list[int]
    received_s: float = 0

    def loads(self) -> list[int]:
        """Return the known requests at each group."""
        return list(map(add, self.own, self.others))


@define
class Views:
    """Passes the requests of each daemon to the others, late.

    Parameters
    ----------
    case
        The case.
    scheduler
        Scheduler of the replay.
    rng
        Spreads the times of the reports over the daemons.

    Attributes
    ----------
    messages
        Number of reports that daemons have received.
    """

    case: LateLoadCase
    scheduler: EventScheduler
    rng: random.Random
    messages: int = 0
    _reported: list[int] = field(init=False)
    _daemons: list[DaemonView] = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._reported = _zeros(self.case)
        self._daemons = [
            DaemonView(_zeros(self.case), _zeros(self.case), _zeros(self.case))
            for _ in range(self.case.daemons)
        ]
        for view in self._daemons:
            first_s = self.rng.uniform(0, self.case.report_period_s)
            self._schedule_report(view, first_s)

    def of(self, daemon: int) -> DaemonView:
        """Return the view of a daemon."""
        return self._daemons[daemon]

    def age_s(self, daemon: int) -> float:
        """Return the age of what a daemon knows of others, seconds."""
        since_s = self.scheduler.clock() - self._daemons[daemon].received_s
        return self.case.report_delay_s + since_s

    def count(self, daemon: int, group: int, change: int) -> None:
        """Record that a request of a daemon was placed or has ended."""
        self._daemons[daemon].own[group] += change
        self.scheduler.schedule(
            self.scheduler.clock() + self.case.report_delay_s,
            lambda: self._count_late(daemon, group, change),
        )

    def _count_late(self, daemon: int, group: int, change: int) -> None:
        self._reported[group] += change
        self._daemons[daemon].reported_own[group] += change

    def _schedule_report(self, view: DaemonView, at_s: float) -> None:
        self.scheduler.schedule(at_s, lambda: self._report(view))

    def _report(self, view: DaemonView) -> None:
        now_s = self.scheduler.clock()
        view.others = list(map(sub, self._reported, view.reported_own))
        view.received_s = now_s
        self.messages += 1
        self._schedule_report(view, now_s + self.case.report_period_s)


def _zeros(case: LateLoadCase) -> list[int]:
    return [0 for _ in range(case.groups)]
