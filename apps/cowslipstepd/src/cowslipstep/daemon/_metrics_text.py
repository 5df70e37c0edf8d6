"""Metrics in the text format of Prometheus."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from eventlet import sleep

from cowslipstep.daemon._http import StartResponse
from cowslipstep.metrics import Histograms, ModelHistograms


def render_cooperatively(
    histograms: Histograms | ModelHistograms,
) -> Iterator[str]:
    """Yield the text of each histogram; other tasks run in between."""
    for text in histograms.render():
        yield text
        # Rendering all series without yielding would delay relayed streams.
        sleep(0)


def send_lines(
    start_response: StartResponse,
    lines: Iterable[str],
) -> Iterable[bytes]:
    """Start a response with metrics and return its body."""
    start_response('200 OK', [('Content-Type', 'text/plain; version=0.0.4')])
    return [f'{line}\n'.encode() for line in lines]
