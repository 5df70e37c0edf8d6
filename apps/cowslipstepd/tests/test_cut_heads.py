"""A runner closes within the head of its response."""

from __future__ import annotations

import pytest
from _green_processes import in_green_process
from _scripted_runners import Close, Reset, Send, Step, response_head
from _serving_harness import ROUTES, Case, outcomes

from cowslipstep.fleet import Route

CLOSE = 'Connection: close'
LENGTH = 'Content-Length: 14'
CHUNKED = 'Transfer-Encoding: chunked'
HEADS = (
    response_head(),
    response_head(CLOSE),
    response_head(LENGTH),
    response_head(LENGTH, CLOSE),
    response_head(CHUNKED),
    response_head(CLOSE, CHUNKED),
)


def accepted(route: Route, end: Step) -> list[bytes]:
    """Return the cut heads that the caller gets as a success."""
    parts = sorted(
        {head[:cut] for head in HEADS for cut in range(1, len(head))}
    )
    cases = [Case(route, ((Send(part), end),)) for part in parts]
    return [
        part
        for part, outcome in zip(parts, outcomes(*cases), strict=True)
        if outcome.received.status == 200
    ]


@pytest.mark.parametrize('route', ROUTES, ids=['quotes', 'once', 'stream'])
@pytest.mark.parametrize('end', [Close(), Reset()], ids=['close', 'reset'])
def test_cut_head_is_no_success(route: Route, end: Step) -> None:
    assert not in_green_process(accepted, route, end)
