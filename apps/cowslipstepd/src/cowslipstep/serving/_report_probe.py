"""Probe of a runner that needs none of its slots."""

from __future__ import annotations

import time

from cowslipstep.daemon._upstream_failures import UpstreamFailure
from cowslipstep.fleet import CommandOutcome, DiscoveredRunner
from cowslipstep.model import NotRun, Reason
from cowslipstep.serving._dialects import RunnerCommands
from cowslipstep.serving._exchange import Exchange, open_answer

# Several times the longest round trip; reports need no slot.
_TIMEOUT_S = 0.4


def ask_report(orders: RunnerCommands, runner: DiscoveredRunner) -> None:
    """Ask a runner for its report.

    Raises
    ------
    UpstreamFailure
        If there is no answer, or another runner gives it.
    """
    exchange = Exchange(
        runner.address,
        'GET',
        orders.report_path,
        orders.headers(runner),
        b'',
        _TIMEOUT_S,
    )
    with open_answer(exchange) as answer:
        answer.read_all(time.monotonic() + _TIMEOUT_S)
        if orders.outcome(answer.status) is CommandOutcome.misdirected:
            raise UpstreamFailure(
                NotRun(Reason.upstream_refused),
                'another runner has the address',
            )
