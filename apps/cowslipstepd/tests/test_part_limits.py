"""The product's own path gives up responses of upstreams without an end."""

from __future__ import annotations

import time

import pytest
from _green_processes import in_green_process
from _pauses import watch_pauses
from _scripted_runners import ScriptedRunners, Send, SendEndlessly

from cowslipstep.daemon._relay import relay_buffered, relay_stream
from cowslipstep.daemon._run_state import RunState
from cowslipstep.daemon._upstream import UpstreamCall
from cowslipstep.daemon._upstream_failures import UpstreamFailure
from cowslipstep.model import Address

CHUNKED = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
CHUNK = b'1\r\nx\r\n'
FAST = CHUNK * 10000
READ_TIMEOUT_S = 0.5
# The time limits of a call, and twice as much again for the machine.
MAX_ELAPSED_S = 6
MAX_PAUSE_S = 0.25


def relayed(streams: bool, repeated: bytes, pause_s: float) -> tuple:
    """Return the verdict, the duration and the longest pause."""
    script = (Send(CHUNKED), SendEndlessly(repeated, pause_s))
    address = ScriptedRunners(1, script).addresses[0]
    pauses = watch_pauses()
    began_s = time.monotonic()
    verdict = verdict_of(address, streams)
    return verdict, time.monotonic() - began_s, max(pauses)


def verdict_of(address: Address, streams: bool) -> str:
    call = UpstreamCall(
        address, 'POST', '/', b'x', read_timeout_s=READ_TIMEOUT_S
    )
    relay = relay_stream if streams else relay_buffered
    try:
        list(relay(call, RunState(time.monotonic() + MAX_ELAPSED_S)))
    except UpstreamFailure as failure:
        return failure.verdict.code
    return 'complete'


# Each read had a timeout of its own, and what was held had no limit.
@pytest.mark.parametrize('streams', [True, False])
@pytest.mark.parametrize(('repeated', 'pause_s'), [(FAST, 0), (CHUNK, 0.05)])
def test_endless_body_is_given_up(
    streams: bool, repeated: bytes, pause_s: float
) -> None:
    verdict, elapsed_s, longest_pause_s = in_green_process(
        relayed, streams, repeated, pause_s
    )
    assert verdict == 'may_have_run'
    assert elapsed_s < MAX_ELAPSED_S
    assert longest_pause_s < MAX_PAUSE_S
