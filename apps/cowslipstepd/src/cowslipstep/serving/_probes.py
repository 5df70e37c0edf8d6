"""Probes of runners, each repeated until its answer is of no interest."""

from __future__ import annotations

import time
from collections.abc import Mapping

import eventlet

from cowslipstep.daemon._upstream_failures import UpstreamFailure
from cowslipstep.fleet import DiscoveredRunner
from cowslipstep.serving._dialects import RunnerCommands
from cowslipstep.serving._report_probe import ask_report

PROBE_PERIOD_S = 0.2


class Probes:
    """Counts the probes in a row that each runner has not answered.

    Parameters
    ----------
    orders
        Says how a runner is asked.
    """

    def __init__(self, orders: RunnerCommands) -> None:
        self._orders = orders
        self._misses: dict[str, int] = {}
        self._probing: set[str] = set()

    @property
    def misses(self) -> Mapping[str, int]:
        """Probes in a row without an answer, by runner."""
        return self._misses

    def start(self, wanted: Mapping[str, DiscoveredRunner]) -> None:
        """Probe these runners once more, and forget all others."""
        for name in self._misses.keys() - wanted.keys():
            self._misses.pop(name)
        for runner in wanted.values():
            if runner.name not in self._probing:
                self._probing.add(runner.name)
                eventlet.spawn(self._probe, runner)

    def _probe(self, runner: DiscoveredRunner) -> None:
        begun_s = time.monotonic()
        try:
            ask_report(self._orders, runner)
        except UpstreamFailure:
            missed = self._misses.get(runner.name, 0)
            self._misses[runner.name] = missed + 1
        else:
            self._misses[runner.name] = 0
        passed_s = time.monotonic() - begun_s
        eventlet.sleep(max(0, PROBE_PERIOD_S - passed_s))
        self._probing.discard(runner.name)
