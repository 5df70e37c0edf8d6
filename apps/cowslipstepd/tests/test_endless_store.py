"""Responses of the platform without an end are given up."""

from __future__ import annotations

import time

import pytest
from _green_processes import in_green_process
from _pauses import watch_pauses
from _scripted_runners import ScriptedRunners, Send, SendEndlessly
from attrs import frozen

from cowslipstep.daemon._time_limits import call_time_limit
from cowslipstep.model import Address
from cowslipstep.platform import (
    CallHooks,
    ObjectKey,
    PlatformClient,
    PlatformUnavailable,
)
from cowslipstep.platform import _transport as transport

KEY = ObjectKey('configuration', 'fleet')
HEAD = b'HTTP/1.1 200 OK\r\n'
CHUNKED = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
CHUNK = b'1\r\nx\r\n'
SLOW = 0.05
FAST = 0
BODY_TIMEOUT_S = 0.5
# The time limits of a call together, and as much again for the machine.
MAX_ELAPSED_S = 8
MAX_PAUSE_S = 0.25


@frozen
class GivenUp:
    """How a call ended.

    Parameters
    ----------
    error
        Name of the class of the error; empty if the call succeeded.
    elapsed_s
        Duration of the call.
    longest_pause_s
        Longest time for which no task could run.
    """

    error: str
    elapsed_s: float
    longest_pause_s: float


def read(start: bytes, repeated: bytes, pause_s: float) -> GivenUp:
    transport._BODY_TIMEOUT_S = BODY_TIMEOUT_S
    script = (Send(start), SendEndlessly(repeated, pause_s))
    address = ScriptedRunners(1, script).addresses[0]
    pauses = watch_pauses()
    began_s = time.monotonic()
    error = error_of(address)
    return GivenUp(error, time.monotonic() - began_s, max(pauses))


def error_of(address: Address) -> str:
    hooks = CallHooks(time_limit=call_time_limit)
    try:
        PlatformClient(address, hooks=hooks).read(KEY)
    except PlatformUnavailable as error:
        return type(error).__name__
    return ''


# Only the wait for each part was limited, and no part of a body that was there.
@pytest.mark.parametrize(
    ('start', 'repeated', 'pause_s'),
    [
        (CHUNKED, CHUNK * 10000, FAST),
        (CHUNKED, CHUNK, SLOW),
        (HEAD, b'A: b\r\n', SLOW),
    ],
)
def test_endless_response_of_the_store_ends(
    start: bytes, repeated: bytes, pause_s: float
) -> None:
    seen = in_green_process(read, start, repeated, pause_s)
    assert seen.error == 'PlatformUnavailable'
    assert seen.elapsed_s < MAX_ELAPSED_S
    assert seen.longest_pause_s < MAX_PAUSE_S
