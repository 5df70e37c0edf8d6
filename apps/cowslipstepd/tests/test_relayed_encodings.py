"""Bodies that upstreams encode, on the product's own path."""

from __future__ import annotations

import gzip
import time

from _green_processes import in_green_process
from _scripted_runners import ScriptedRunners, Send

from cowslipstep.daemon._relay import relay_buffered
from cowslipstep.daemon._run_state import RunState
from cowslipstep.daemon._upstream import UpstreamCall

BODY = b'{"text": "beech"}'
ENCODED = gzip.compress(BODY)
HEAD = (
    b'HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\nContent-Length: %d\r\n\r\n'
)


def relayed_body() -> bytes:
    script = (Send(HEAD % len(ENCODED) + ENCODED),)
    address = ScriptedRunners(1, script).addresses[0]
    call = UpstreamCall(address, 'POST', '/', b'x', read_timeout_s=1)
    run = RunState(time.monotonic() + 2)
    return list(relay_buffered(call, run))[-1]


# Callers get no Content-Encoding, so an encoded body would be of no use.
def test_encoded_body_is_decoded() -> None:
    assert in_green_process(relayed_body) == BODY
