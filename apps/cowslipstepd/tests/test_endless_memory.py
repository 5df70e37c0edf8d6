"""Memory of a daemon while runners send bytes without an end."""

from __future__ import annotations

import resource
import time
from types import MappingProxyType

import pytest
from _endless_scripts import ENDLESS, endless
from _green_processes import in_green_process
from _pauses import watch_pauses
from _scripted_runners import ScriptedRunners
from _serving_harness import STREAM, Harness
from attrs import evolve, frozen
from eventlet.greenpool import GreenPool

from cowslipstep.daemon._relay import relay_buffered, relay_stream
from cowslipstep.daemon._run_state import RunState
from cowslipstep.daemon._upstream import UpstreamCall
from cowslipstep.daemon._upstream_failures import UpstreamFailure

REQUESTS = 4
TIMEOUT_S = 1.5
READ_TIMEOUT_S = 0.5
# What a daemon may use for control; its limit on the smallest hosts is 160 MB.
MAX_GROWTH_BYTES = 32 * 1024 * 1024
# The time limits of a call, and twice as much again for the machine.
MAX_ELAPSED_S = 6
MAX_PAUSE_S = 0.25
ROUTE = evolve(STREAM, name='endless', max_attempts=1, timeout_s=TIMEOUT_S)


@frozen
class Growth:
    """What endless responses cost a daemon."""

    memory_bytes: int
    elapsed_s: float
    longest_pause_s: float


def peak_bytes() -> int:
    return 1024 * resource.getrusage(resource.RUSAGE_SELF).ru_maxrss


def growth(name: str, path: str) -> Growth:
    """Send requests to endless runners at once; return what they cost."""
    request = PATHS[path](ScriptedRunners(1, endless(name)))
    pauses = watch_pauses()
    peak_before, began_s = peak_bytes(), time.monotonic()
    requests = GreenPool()
    for _ in range(REQUESTS):
        requests.spawn(request)
    requests.waitall()
    return Growth(
        peak_bytes() - peak_before, time.monotonic() - began_s, max(pauses)
    )


def by_serving_path(runners: ScriptedRunners):
    harness = Harness(runners, runners)
    harness.configure(ROUTE)
    return lambda: harness.exchange(ROUTE)


def by_stream_relay(runners: ScriptedRunners):
    return lambda: relay(relay_stream, runners)


def by_body_relay(runners: ScriptedRunners):
    return lambda: relay(relay_buffered, runners)


def relay(relayed, runners: ScriptedRunners) -> None:
    call = UpstreamCall(
        runners.addresses[0], 'POST', '/', b'x', read_timeout_s=READ_TIMEOUT_S
    )
    try:
        list(relayed(call, RunState(time.monotonic() + MAX_ELAPSED_S)))
    except UpstreamFailure:
        return


PATHS = MappingProxyType(
    {
        'serving': by_serving_path,
        'stream relay': by_stream_relay,
        'body relay': by_body_relay,
    }
)


# Operators of a similar system: a runner sent bytes that were no response
# without an end; the daemon kept them all and ran out of memory.
@pytest.mark.parametrize('path', PATHS)
@pytest.mark.parametrize('name', ENDLESS)
def test_endless_bytes_do_not_fill_the_memory(name: str, path: str) -> None:
    cost = in_green_process(growth, name, path)
    assert cost.memory_bytes < MAX_GROWTH_BYTES
    assert cost.elapsed_s < MAX_ELAPSED_S
    assert cost.longest_pause_s < MAX_PAUSE_S
