"""Periodic probes of runners that may be unreachable."""

from __future__ import annotations

import time
from collections.abc import Mapping

import eventlet

from cowslipstep.daemon._upstream_failures import UpstreamFailure
from cowslipstep.fleet import DiscoveredRunner
from cowslipstep.serving._dialects import RunnerCommands
from cowslipstep.serving._report_probe import probe_runner

PROBE_PERIOD_S = 0.2


class RunnerProbes:
    """Probes runners, and counts the consecutive probes that each missed.

    Parameters
    ----------
    commands
        Paths, headers and outcomes of calls to runners.
    """

    def __init__(self, commands: RunnerCommands) -> None:
        self._commands = commands
        self._consecutive_misses: dict[str, int] = {}
        self._in_progress: set[str] = set()

    @property
    def consecutive_misses(self) -> Mapping[str, int]:
        """Consecutive probes without a response, by runner."""
        return self._consecutive_misses

    def probe(self, runners: Mapping[str, DiscoveredRunner]) -> None:
        """Probe these runners again, and drop the counts of all others."""
        for name in self._consecutive_misses.keys() - runners.keys():
            self._consecutive_misses.pop(name)
        for runner in runners.values():
            if runner.name not in self._in_progress:
                self._in_progress.add(runner.name)
                eventlet.spawn(self._probe, runner)

    def _probe(self, runner: DiscoveredRunner) -> None:
        started_s = time.monotonic()
        try:
            probe_runner(self._commands, runner)
        except UpstreamFailure:
            missed = self._consecutive_misses.get(runner.name, 0)
            self._consecutive_misses[runner.name] = missed + 1
        else:
            self._consecutive_misses[runner.name] = 0
        elapsed_s = time.monotonic() - started_s
        eventlet.sleep(max(0, PROBE_PERIOD_S - elapsed_s))
        self._in_progress.discard(runner.name)
