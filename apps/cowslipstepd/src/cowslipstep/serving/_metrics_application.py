"""Application that serves the metrics of a daemon as text."""

from __future__ import annotations

import itertools
from collections.abc import Callable, Iterable

from loguru import logger

from cowslipstep.daemon._caller_connections import CallerConnections
from cowslipstep.daemon._caller_server import CallerServer
from cowslipstep.daemon._connection_limits import (
    ConnectionLimits,
    default_limits,
)
from cowslipstep.daemon._http import Environ, StartResponse, status_line
from cowslipstep.daemon._listening import ListenError, listen_http
from cowslipstep.daemon._metrics_text import send_lines
from cowslipstep.metrics import CounterKey, Gauges
from cowslipstep.model import Address
from cowslipstep.serving._clocks import boot_time_s
from cowslipstep.serving._demand import DemandEstimator
from cowslipstep.serving._key_permission import key_permission
from cowslipstep.serving._metrics import RequestMetrics
from cowslipstep.serving._serving_gauges import set_serving_gauges
from cowslipstep.serving._state import ServingState

_NOT_FOUND = 404
# Shown for a permission without an end.
_NO_LIMIT_S = 1000000
_METRICS_PATH = '/metrics'


class MetricsApplication:
    """Serves all metrics of a daemon as text.

    Parameters
    ----------
    state
        State of the daemon.
    requests
        Metrics of requests.
    connections
        Connections of callers.
    demand
        Estimates the demand for each model.
    """

    def __init__(
        self,
        state: ServingState,
        requests: RequestMetrics,
        connections: CallerConnections,
        demand: DemandEstimator,
    ) -> None:
        self._state = state
        self._requests = requests
        self._connections = connections
        self._demand = demand

    def __call__(
        self,
        environ: Environ,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """Respond to one scrape."""
        if environ['PATH_INFO'] != _METRICS_PATH:
            start_response(status_line(_NOT_FOUND), [('Content-Length', '0')])
            return [b'']
        lines = itertools.chain(
            self._requests.render(),
            self._gauges().render(),
            self._connections.memory.render(),
        )
        return send_lines(start_response, lines)

    def _gauges(self) -> Gauges:
        state = self._state
        gauge_readings = {
            'configuration_version': state.configuration.version,
            'runners_known': len(state.runner_table.runners),
            'runners_revision': state.runner_table.revision,
            'platform_lost': int(state.runner_table.platform_lost),
            'store_silences': state.platform.doubts.silences,
            'store_restorations': state.platform.eras.restorations,
            'watches_given_up': state.platform.doubts.given_up,
            'daemons_known': state.daemon_count,
            # Counts down to zero, at which requests with keys are refused.
            'key_permission_s': _bounded(
                key_permission(state).ends_at_s - boot_time_s()
            ),
            'keeper': int(state.is_controller),
            'relay_fed': int(state.relay_role.relies_on_relay),
            'cold_runners': state.cold_runners.times.count,
            'cold_requests_held_back': state.cold_runners.held_back,
            'upstreams_backed_off': state.backoffs.count,
            'backoffs_requested': state.backoffs.requested,
            'backoffs_ignored': state.backoffs.ignored,
            'harmful_prompts': len(state.harmful_prompts.guard.combinations),
            'requests_in_progress': state.loads.own.requests,
            'caller_connections': self._connections.open_count,
            'caller_connections_idle': self._connections.idle.count,
            'broken_tasks': len(state.process.tasks.broken()),
        }
        gauges = Gauges()
        for name, reading in gauge_readings.items():
            gauges.set(CounterKey(name), reading)
        set_serving_gauges(gauges, state, self._demand)
        return gauges


def _bounded(remaining_s: float) -> float:
    """Return a gauge for a time that may be infinite or in the past."""
    return max(0, min(remaining_s, _NO_LIMIT_S))


def serve_metrics(
    application: MetricsApplication,
    address: Address | None,
    current_limits: Callable[[], ConnectionLimits] = default_limits,
) -> None:
    """Serve metrics on an address, if there is one and it is free."""
    if address is None:
        return
    try:
        listener = listen_http(address)
    except ListenError as error:
        # The daemon goes on without metrics: serving requests matters more.
        logger.warning(
            'metrics not served, the daemon runs without them: {}', error
        )
        return
    CallerServer(listener, application, bool, current_limits).start()
