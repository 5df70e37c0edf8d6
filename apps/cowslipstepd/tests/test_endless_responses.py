"""Responses without an end do not hold a daemon, however fast they come."""

from __future__ import annotations

import time

import eventlet
import pytest
from _callers import Received
from _endless_scripts import CHUNKED, ENDLESS, endless
from _green_processes import in_green_process
from _pauses import watch_pauses
from _scripted_runners import (
    LAST_CHUNK,
    Close,
    Pause,
    Script,
    ScriptedRunners,
    Send,
    chunk,
    event,
    response,
)
from _serving_harness import ONCE, PLAIN, STREAM, Harness
from attrs import evolve, frozen

from cowslipstep.daemon._stream_progress import StreamProgress
from cowslipstep.fleet import RequestKind, Route, WeightedService

# What callers may wait beyond the deadline of their request.
SLACK_S = 0.5
TIMEOUT_S = 1.5
ENDLESS_STREAM = evolve(
    STREAM,
    name='endless',
    path_prefix='/endless/',
    max_attempts=1,
    timeout_s=TIMEOUT_S,
)
ENDLESS_ONCE = evolve(ENDLESS_STREAM, kind=RequestKind.non_idempotent)
SOUND = evolve(ONCE, weighted_services=(WeightedService(PLAIN),))
SOUND_EVENT = Send(chunk(event(1)))
LAST = Send(LAST_CHUNK)
SOUND_EVENTS = CHUNKED, SOUND_EVENT, LAST, Close()


@frozen
class Played:
    """What callers saw beside an endless response.

    Parameters
    ----------
    received
        Response of the request whose runner is endless.
    longest_pause_s
        Longest time for which no task could run.
    longest_exchange_s
        Longest time that a sound response took.
    """

    received: Received
    longest_pause_s: float
    longest_exchange_s: float


def harness_with_endless(script: Script, route: Route) -> Harness:
    harness = Harness(
        ScriptedRunners(1, script),
        ScriptedRunners(1, (Pause(0.01), Send(response(b'ok')))),
    )
    harness.configure(SOUND, route)
    return harness


def played(script: Script, route: Route) -> Played:
    harness = harness_with_endless(script, route)
    pauses = watch_pauses()
    exchange = eventlet.spawn(harness.exchange, route)
    longest_exchange_s = longest_sound_exchange_s(harness)
    return Played(exchange.wait(), max(pauses), longest_exchange_s)


def longest_sound_exchange_s(harness: Harness) -> float:
    longest_s: float = 0
    until_s = time.monotonic() + TIMEOUT_S
    while time.monotonic() < until_s:
        longest_s = max(longest_s, harness.exchange(SOUND).elapsed_s)
        eventlet.sleep(0.02)
    return longest_s


# A task that never had to wait let no other task run, and no deadline applied
# to it: one endless response stopped all requests of the daemon.
@pytest.mark.parametrize('route', [ENDLESS_STREAM, ENDLESS_ONCE])
@pytest.mark.parametrize('name', ENDLESS)
def test_endless_response_does_not_stop_others(name: str, route: Route) -> None:
    seen = in_green_process(played, endless(name), route)
    assert not seen.received.whole or seen.received.status >= 500
    assert seen.received.elapsed_s < TIMEOUT_S + SLACK_S
    assert seen.longest_pause_s < SLACK_S / 2
    assert seen.longest_exchange_s < SLACK_S


def mostly_sound_runner() -> list[tuple[int, bytes, bool]]:
    """Return the responses of a service whose runner is endless once."""
    runners = ScriptedRunners(1, endless('event'), SOUND_EVENTS)
    harness = Harness(runners, runners)
    route = evolve(STREAM, timeout_s=TIMEOUT_S, max_attempts=1)
    harness.configure(route)
    harness.exchange(route)
    return [harness.exchange(route).response for _ in range(3)]


# A runner that was endless once is sound for other requests.
def test_runner_is_used_after_endless_response() -> None:
    for sound in in_green_process(mostly_sound_runner):
        assert sound == (200, event(1), True)


def seconds_to_split(size: int) -> float:
    """Return the time that an event of small chunks takes."""
    progress = StreamProgress()
    began_s = time.process_time()
    for _ in range(size // 16):
        progress.add_chunk(b'x' * 16)
    return time.process_time() - began_s


# Each chunk copied all that was held of its event.
def test_cost_of_an_event_is_linear_in_its_size() -> None:
    small_s = min(seconds_to_split(262144) for _ in range(3))
    large_s = min(seconds_to_split(1048576) for _ in range(3))
    assert large_s < 8 * small_s
