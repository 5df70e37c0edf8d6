"""Probe of a runner: a request for its report, which occupies no slot."""

from __future__ import annotations

import time

from cowslipstep.daemon._upstream_failures import UpstreamFailure
from cowslipstep.fleet import CommandOutcome, DiscoveredRunner
from cowslipstep.model import NotRun, Reason
from cowslipstep.serving._dialects import RunnerCommands
from cowslipstep.serving._upstream_http import HttpRequest, open_response

# Several times the longest round trip; a report does not wait for a slot.
_PROBE_TIMEOUT_S = 0.4


def probe_runner(commands: RunnerCommands, runner: DiscoveredRunner) -> None:
    """Request the report of a runner, and discard it.

    Raises
    ------
    UpstreamFailure
        If there is no response, or another runner has the address.
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
                'expected runner is not at its address, another one responded',
            )
