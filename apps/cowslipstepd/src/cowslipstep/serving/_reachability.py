"""Which members of suspected groups do not answer."""

from __future__ import annotations

import time

import eventlet

from cowslipstep.daemon._upstream_failures import UpstreamFailure
from cowslipstep.groups import FleetView, formations
from cowslipstep.model import DiscoveredRunner
from cowslipstep.serving._exchange import Exchange, open_answer
from cowslipstep.serving._state import ServingState

# Several times the longest round trip; reports need no slot.
_PROBE_TIMEOUT_S = 0.4
# One lost packet does not make a runner unreachable.
_MISSES = 2
_PROBE_PERIOD_S = 0.2


class Reachability:
    """Probes the members of groups that requests found silent.

    Parameters
    ----------
    state
        State of the daemon.
    """

    def __init__(self, state: ServingState) -> None:
        self._state = state
        self._misses: dict[str, int] = {}
        self._probing: set[str] = set()

    @property
    def lost(self) -> frozenset[str]:
        """Runners that have not answered several probes in a row."""
        return frozenset(
            name for name, count in self._misses.items() if count >= _MISSES
        )

    def check(self, view: FleetView) -> None:
        """Start probes where they are needed."""
        for name in tuple(self._misses):
            if name not in view.runners:
                self._misses.pop(name)
        for runner in self._doubtful(view):
            if runner.name not in self._probing:
                self._probing.add(runner.name)
                eventlet.spawn(self._probe, runner)

    def _doubtful(self, view: FleetView) -> list[DiscoveredRunner]:
        suspects = set(self._state.suspicions.names)
        for report in self._state.loads.reports:
            suspects.update(report.suspects)
        doubtful = {
            name: view.runners[name]
            for name in self._misses
            if name in view.runners
        }
        for formation in formations(view.runners.values()).values():
            head = formation.head
            if head is not None and head.name in suspects:
                for member in formation.members.values():
                    doubtful[member.name] = member
        return list(doubtful.values())

    def _probe(self, runner: DiscoveredRunner) -> None:
        begun_s = time.monotonic()
        try:
            self._ask(runner)
        except UpstreamFailure:
            self._misses[runner.name] = self._misses.get(runner.name, 0) + 1
        else:
            self._misses.pop(runner.name, None)
        passed_s = time.monotonic() - begun_s
        eventlet.sleep(max(0, _PROBE_PERIOD_S - passed_s))
        self._probing.discard(runner.name)

    def _ask(self, runner: DiscoveredRunner) -> None:
        orders = self._state.dialects.orders
        exchange = Exchange(
            runner.address,
            'GET',
            orders.report_path,
            orders.headers(runner),
            b'',
            _PROBE_TIMEOUT_S,
        )
        with open_answer(exchange) as answer:
            answer.read_all(time.monotonic() + _PROBE_TIMEOUT_S)
