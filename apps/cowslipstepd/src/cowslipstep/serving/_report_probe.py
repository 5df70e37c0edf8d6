"""Probe of a runner that needs none of its slots."""

from __future__ import annotations

import time

from cowslipstep.daemon._upstream_failures import UpstreamFailure
from cowslipstep.fleet import CommandOutcome, DiscoveredRunner
from cowslipstep.model import NotRun, Reason
from cowslipstep.serving._dialects import RunnerCommands
from cowslipstep.serving._upstream_http import HttpRequest, open_response

# Several times the longest round trip; reports need no slot.
_PROBE_TIMEOUT_S = 0.4


def probe_runner(commands: RunnerCommands, runner: DiscoveredRunner) -> None:
    """Ask a runner for its report.

    Raises
    ------
    UpstreamFailure
        If there is no answer, or another runner gives it.
    """
    http_request = HttpRequest(
        runner.address,
        'GET',
        commands.report_path,
        commands.headers(runner),
        b'',
        _PROBE_TIMEOUT_S,
    )
    with open_response(http_request) as response:
        response.read_all(time.monotonic() + _PROBE_TIMEOUT_S)
        if commands.outcome(response.status) is CommandOutcome.misdirected:
            raise UpstreamFailure(
                NotRun(Reason.upstream_refused),
                'another runner has the address',
            )
