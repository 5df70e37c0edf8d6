"""Responses to ``/readyz`` and ``/metrics``."""

from __future__ import annotations

import itertools
from collections.abc import Iterable

from attrs import asdict

from cowslipstep.daemon._http import JsonResponse, StartResponse
from cowslipstep.daemon._metrics_text import render_cooperatively, send_lines
from cowslipstep.daemon._state import DaemonState
from cowslipstep.metrics import CounterKey

_OK = 200
_UNAVAILABLE = 503


def readiness_response(state: DaemonState) -> JsonResponse:
    """Return whether load balancers should use the daemon.

    Both the status and the JSON document state it. A daemon that is isolated
    or has begun a planned stop is unready, although it may still serve
    requests.
    """
    document = {
        'ready': state.ready,
        'version': state.version,
        'daemon': state.settings.name,
    }
    return JsonResponse(_OK if state.ready else _UNAVAILABLE, document)


def send_metrics(
    start_response: StartResponse,
    state: DaemonState,
) -> Iterable[bytes]:
    """Respond with all metrics in the text format of Prometheus."""
    _set_daemon_gauges(state)
    lines = itertools.chain(
        state.counters.render(),
        state.gauges.render(),
        state.caller_memory.render(),
        render_cooperatively(state.histograms),
    )
    return send_lines(start_response, lines)


def _set_daemon_gauges(state: DaemonState) -> None:
    readings = {
        **asdict(state.traffic),
        'known_daemons': len(state.membership.others) + 1,
        'live_daemons': len(state.live_daemons),
        'partners': len(state.membership.heartbeat_peers),
        'configuration_version': state.version,
    }
    for name, reading in readings.items():
        state.gauges.set(CounterKey(f'control_{name}'), reading)
