"""Counters and latency histograms of requests on routes."""

from __future__ import annotations

import contextlib
import itertools
from collections.abc import Callable, Iterable, Iterator

from loguru import logger

from cowslipstep.daemon._caller_connections import CallerConnections
from cowslipstep.daemon._caller_server import CallerServer
from cowslipstep.daemon._connection_limits import (
    ConnectionLimits,
    default_limits,
)
from cowslipstep.daemon._hangup import CallerGone
from cowslipstep.daemon._http import Environ, StartResponse, status_line
from cowslipstep.daemon._listening import ListenError, listen_http
from cowslipstep.daemon._metrics_text import render_cooperatively, send_lines
from cowslipstep.daemon._upstream_failures import UpstreamFailure
from cowslipstep.metrics import CounterKey, Counters, Gauges, Histograms, Series
from cowslipstep.model import Address, RequestError
from cowslipstep.serving._clocks import boot_time_s
from cowslipstep.serving._delivery_state import DeliveryState
from cowslipstep.serving._key_permission import key_permission
from cowslipstep.serving._loop_pauses import LoopPauses
from cowslipstep.serving._state import ServingState

_NOT_FOUND = 404
# Shown for a permission without an end.
_NO_LIMIT_S = 1000000
_METRICS_PATH = '/metrics'
_COMPLETED = 'completed'
_HUNG_UP = 'hung_up'


class RequestMetrics:
    """Counts requests and failed attempts, and measures latencies."""

    def __init__(self) -> None:
        self._counters = Counters()
        self._histograms = Histograms()

    @contextlib.contextmanager
    def outcome_counted(self, delivery: DeliveryState) -> Iterator[None]:
        """Count a request when it ends, labelled with its outcome."""
        outcome = _COMPLETED
        try:
            yield
        except (CallerGone, GeneratorExit):
            outcome = _HUNG_UP
            raise
        except RequestError as error:
            outcome = error.verdict.reason.value
            raise
        finally:
            self._record_end(delivery, outcome)

    def record_failure(
        self, delivery: DeliveryState, failure: UpstreamFailure
    ) -> None:
        """Count a failed attempt."""
        labels = (
            ('reason', failure.verdict.reason.value),
            ('service', delivery.routed.service),
            ('verdict', failure.verdict.code),
        )
        self._counters.add(CounterKey('failed_tries', labels))

    def record_silence(self, delivery: DeliveryState) -> None:
        """Count an attempt whose upstream is silent."""
        labels = (('service', delivery.routed.service),)
        self._counters.add(CounterKey('silent_tries', labels))

    def render(self) -> Iterator[str]:
        """Yield lines in the text format of Prometheus."""
        yield from self._counters.render()
        yield from render_cooperatively(self._histograms)

    def _record_end(self, delivery: DeliveryState, outcome: str) -> None:
        routed = delivery.routed
        rank = str(routed.rank)
        labels = (
            ('outcome', outcome),
            ('rank', rank),
            ('service', routed.service),
        )
        self._counters.add(CounterKey('requests', labels))
        self._counters.add(CounterKey('tries', labels), delivery.attempts)
        if delivery.response_begun_s:
            series = Series('first_piece', routed.workspace, rank)
            self._histograms.record(
                series, delivery.response_begun_s - delivery.arrived_s
            )
        if outcome == _COMPLETED:
            series = Series('total', routed.workspace, rank)
            self._histograms.record(series, delivery.now_s - delivery.arrived_s)


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
    """

    def __init__(
        self,
        state: ServingState,
        requests: RequestMetrics,
        connections: CallerConnections,
    ) -> None:
        self._state = state
        self._requests = requests
        self._connections = connections

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
        )
        return send_lines(start_response, lines)

    def _gauges(self) -> Gauges:
        state = self._state
        gauge_readings = {
            'configuration_version': state.configuration.version,
            'runners_known': len(state.runner_table.runners),
            'runners_revision': state.runner_table.revision,
            'platform_lost': int(state.runner_table.platform_lost),
            'daemons_known': state.daemon_count,
            # Counts down to zero, at which requests with keys are refused.
            'key_permission_s': _bounded(
                key_permission(state).ends_at_s - boot_time_s()
            ),
            'keeper': int(state.is_controller),
            'relay_fed': int(state.relay_role.relies_on_relay),
            'harmful_prompts': len(state.harmful_prompts.guard.combinations),
            'requests_in_progress': state.loads.own.requests,
            'caller_connections': self._connections.open_count,
            'caller_connections_idle': self._connections.idle.count,
            'broken_tasks': len(state.process.tasks.broken()),
        }
        gauges = Gauges()
        for name, reading in gauge_readings.items():
            gauges.set(CounterKey(name), reading)
        _set_loop_pauses(gauges, state.process.loop_pauses)
        return gauges


def _set_loop_pauses(gauges: Gauges, pauses: LoopPauses) -> None:
    for quantile, pause_s in pauses.quantiles_s().items():
        labels = (('quantile', str(quantile)),)
        gauges.set(CounterKey('loop_pause_s', labels), pause_s)


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
