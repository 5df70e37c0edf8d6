"""Replay of many daemons that choose by loads which they know late."""

from __future__ import annotations

import itertools
import random
from collections.abc import Sequence
from statistics import fmean

from attrs import define, field, frozen

from cowslipstep.replay._event_scheduler import EventScheduler
from cowslipstep.replay._statistics import percentile
from cowslipstep.replay.late_loads._cases import (
    LateLoadCase,
    Surroundings,
    draw_surroundings,
)
from cowslipstep.replay.late_loads._groups import Groups
from cowslipstep.replay.late_loads._views import Views
from cowslipstep.replay.late_loads._known import Known, Way

_SAMPLE_PERIOD_S = 0.05
_HIGH = 0.99


@frozen
class LateLoadFigures:
    """Measures of one replay.

    Parameters
    ----------
    high_over_mean
        99th percentile of the requests per slot of a group, over the mean.
    largest_over_mean
        Largest number of requests per slot of a group, over the mean.
    drain_high_over_mean
        99th percentile of the requests per slot and speed, over the mean.
    waiting_share
        Part of the requests that wait for a slot.
    mean_wait_s
        Mean wait of all requests.
    high_wait_s
        99th percentile of the wait.
    messages_per_s
        Reports that daemons receive, and announcements of groups.
    """

    high_over_mean: float
    largest_over_mean: float
    drain_high_over_mean: float
    waiting_share: float
    mean_wait_s: float
    high_wait_s: float
    messages_per_s: float


def play_way(case: LateLoadCase, way: Way) -> LateLoadFigures:
    """Replay a case with one way to choose."""
    replay = _Replay(case, way)
    replay.play()
    return replay.figures()


@define
class _Replay:
    case: LateLoadCase
    way: Way
    _rng: random.Random = field(init=False)
    _scheduler: EventScheduler = field(factory=EventScheduler)
    _surroundings: Surroundings = field(init=False)
    _views: Views = field(init=False)
    _groups: Groups = field(init=False)
    _loads: list[int] = field(factory=list)
    _drains: list[float] = field(factory=list)
    _entry: Sequence[float] = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._rng = random.Random(self.case.seed)
        self._surroundings = draw_surroundings(self.case, self._rng)
        weights = self._surroundings.entry_weights
        self._entry = tuple(itertools.accumulate(weights))
        self._views = Views(self.case, self._scheduler, self._rng)
        self._groups = Groups(
            self.case, self._scheduler, self._surroundings, self._end
        )

    def play(self) -> None:
        """Let requests arrive and end."""
        self._scheduler.schedule(0, self._arrive)
        self._scheduler.schedule(self.case.warm_up_s, self._sample)
        self._scheduler.run_until(self.case.length_s)

    def figures(self) -> LateLoadFigures:
        """Return the measures after the replay."""
        waits_s = self._groups.waits_s
        mean = fmean(self._loads)
        return LateLoadFigures(
            percentile(self._loads, _HIGH) / mean,
            max(self._loads) / mean,
            percentile(self._drains, _HIGH) / fmean(self._drains),
            sum(wait_s > 0 for wait_s in waits_s) / len(waits_s),
            fmean(waits_s),
            percentile(waits_s, _HIGH),
            (self._views.messages + self.way.messages) / self.case.length_s,
        )

    def _arrive(self) -> None:
        now_s = self._scheduler.clock()
        pause_s = self._rng.expovariate(self._surroundings.requests_per_s)
        self._scheduler.schedule(now_s + pause_s, self._arrive)
        daemon = self._rng.choices(
            range(self.case.daemons), cum_weights=self._entry
        )[0]
        group = self.way.choose(self._known(daemon), self._rng)
        self._groups.place(group, daemon, self._rng)
        self._views.count(daemon, group, 1)

    def _known(self, daemon: int) -> Known:
        view = self._views.of(daemon)
        share = self._surroundings.entry_weights[daemon] / self._entry[-1]
        return Known(
            daemon,
            view.loads(),
            view.others,
            self._views.age_s(daemon),
            self._surroundings.requests_per_s * (1 - share),
            self.case,
        )

    def _end(self, daemon: int, group: int) -> None:
        self._views.count(daemon, group, -1)
        self.way.record_end(group, self._groups.requests[group], self._rng)

    def _sample(self) -> None:
        requests = self._groups.requests
        self._loads.extend(requests)
        self._drains.extend(
            load / speed
            for load, speed in zip(requests, self._groups.speeds, strict=True)
        )
        self._scheduler.schedule(
            self._scheduler.clock() + _SAMPLE_PERIOD_S, self._sample
        )
