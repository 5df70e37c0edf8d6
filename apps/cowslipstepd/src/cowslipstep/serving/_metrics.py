"""Counters and latency histograms of requests on routes."""

from __future__ import annotations

import contextlib
import itertools
from collections.abc import Iterable, Iterator

from loguru import logger

from cowslipstep.daemon._http import Environ, StartResponse, status_line
from cowslipstep.daemon._listening import ListenError, listen_http
from cowslipstep.daemon._metrics_text import render_slowly, send_lines
from cowslipstep.daemon._server import CallerServer
from cowslipstep.daemon._upstream_failures import UpstreamFailure
from cowslipstep.metrics import CounterKey, Counters, Gauges, Histograms, Series
from cowslipstep.model import Address, RequestError
from cowslipstep.serving._serving_run import ServingRun
from cowslipstep.serving._state import ServingState

_NOT_FOUND = 404
_PATH = '/metrics'
_COMPLETED = 'completed'
_HUNG_UP = 'hung_up'


class RequestMetrics:
    """Counts requests and failed tries, and measures latencies."""

    def __init__(self) -> None:
        self._counters = Counters()
        self._histograms = Histograms()

    @contextlib.contextmanager
    def followed(self, run: ServingRun) -> Iterator[None]:
        """Count a request when it ends, with how it ended."""
        outcome = _COMPLETED
        try:
            yield
        except GeneratorExit:
            outcome = _HUNG_UP
            raise
        except RequestError as error:
            outcome = error.verdict.reason.value
            raise
        finally:
            self._note_end(run, outcome)

    def note_failure(self, run: ServingRun, failure: UpstreamFailure) -> None:
        """Count a try that failed."""
        labels = (
            ('reason', failure.verdict.reason.value),
            ('service', run.routed.service),
            ('verdict', failure.verdict.code),
        )
        self._counters.add(CounterKey('failed_tries', labels))

    def render(self) -> Iterator[str]:
        """Yield lines in the text format of Prometheus."""
        yield from self._counters.render()
        yield from render_slowly(self._histograms)

    def _note_end(self, run: ServingRun, outcome: str) -> None:
        routed = run.routed
        rank = str(routed.rank)
        labels = (
            ('outcome', outcome),
            ('rank', rank),
            ('service', routed.service),
        )
        self._counters.add(CounterKey('requests', labels))
        self._counters.add(CounterKey('tries', labels), run.tries)
        if run.begun_s:
            series = Series('first_piece', routed.workspace, rank)
            self._histograms.record(series, run.begun_s - run.arrived_s)
        if outcome == _COMPLETED:
            series = Series('total', routed.workspace, rank)
            self._histograms.record(series, run.now_s - run.arrived_s)


class MetricsFront:
    """Serves all metrics of a daemon as text.

    Parameters
    ----------
    state
        State of the daemon.
    requests
        Metrics of its requests.
    """

    def __init__(self, state: ServingState, requests: RequestMetrics) -> None:
        self._state = state
        self._requests = requests

    def __call__(
        self,
        environ: Environ,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """Answer one question."""
        if environ['PATH_INFO'] != _PATH:
            start_response(status_line(_NOT_FOUND), [('Content-Length', '0')])
            return [b'']
        lines = itertools.chain(
            self._requests.render(),
            self._gauges().render(),
        )
        return send_lines(start_response, lines)

    def _gauges(self) -> Gauges:
        state = self._state
        figures = {
            'configuration_version': state.configuration.version,
            'runners_known': len(state.directory.runners),
            'runners_revision': state.directory.revision,
            'platform_lost': int(state.directory.lost),
            'daemons_known': state.daemons,
            'keeper': int(state.is_controller),
            'relay_fed': int(state.role.fed),
            'requests_in_progress': state.loads.own.requests,
        }
        gauges = Gauges()
        for name, figure in figures.items():
            gauges.set(CounterKey(name), figure)
        return gauges


def serve_metrics(front: MetricsFront, address: Address | None) -> None:
    """Serve metrics on an address; without one that is free, go on."""
    if address is None:
        return
    try:
        listener = listen_http(address)
    except ListenError as error:
        # Requests are worth more than figures on them.
        logger.warning('metrics are not served: {}', error)
        return
    CallerServer(listener, front, bool).start()
