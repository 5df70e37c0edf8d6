"""Answers to ``/readyz`` and ``/metrics``."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from attrs import asdict
from eventlet import sleep

from cowslipstep.daemon._http import JsonAnswer, StartResponse
from cowslipstep.daemon._state import DaemonState
from cowslipstep.metrics import CounterKey, Histograms

_OK = 200
_UNAVAILABLE = 503


def answer_readiness(state: DaemonState) -> JsonAnswer:
    """Say whether the daemon takes requests."""
    document = {
        'ready': state.ready,
        'version': state.version,
        'daemon': state.settings.name,
    }
    return JsonAnswer(_OK if state.ready else _UNAVAILABLE, document)


def _render_slowly(histograms: Histograms) -> Iterator[str]:
    for text in histograms.render():
        yield text
        # Finding the quantiles of all series at once would hold up streams.
        sleep(0)


def send_metrics(
    start_response: StartResponse,
    state: DaemonState,
) -> Iterable[bytes]:
    """Answer with all metrics in the text format of Prometheus."""
    start_response('200 OK', [('Content-Type', 'text/plain; version=0.0.4')])
    _gauge_daemon(state)
    lines = [
        *state.counters.render(),
        *state.gauges.render(),
        *_render_slowly(state.histograms),
    ]
    return [f'{line}\n'.encode() for line in lines]


def _gauge_daemon(state: DaemonState) -> None:
    figures = {
        **asdict(state.traffic),
        'known_daemons': len(state.membership.others) + 1,
        'live_daemons': len(state.live_daemons),
        'partners': len(state.membership.partners),
        'configuration_version': state.version,
    }
    for name, figure in figures.items():
        state.gauges.set(CounterKey(f'control_{name}'), figure)
