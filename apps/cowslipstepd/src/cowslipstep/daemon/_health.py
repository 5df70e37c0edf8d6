"""Answers to ``/readyz`` and ``/metrics``."""

from __future__ import annotations

from collections.abc import Iterable

from cowslipstep.daemon._http import JsonAnswer, StartResponse
from cowslipstep.daemon._state import DaemonState

_OK = 200
_UNAVAILABLE = 503


def answer_readiness(state: DaemonState) -> JsonAnswer:
    """Say whether the daemon takes requests."""
    ready = state.configuration is not None and not state.stopping
    document = {
        'ready': ready,
        'daemon': state.settings.name,
        'version': state.version,
    }
    return JsonAnswer(_OK if ready else _UNAVAILABLE, document)


def send_metrics(
    start_response: StartResponse,
    state: DaemonState,
) -> Iterable[bytes]:
    """Answer with all metrics in the text format of Prometheus."""
    start_response('200 OK', [('Content-Type', 'text/plain; version=0.0.4')])
    lines = [
        *state.counters.render(),
        *state.gauges.render(),
        *state.histograms.render(),
    ]
    return [f'{line}\n'.encode() for line in lines]
