"""Cold runners get a limited rate of requests; others take over."""

from __future__ import annotations

import contextlib
import itertools
import random
from collections import Counter

import eventlet
import pytest
from _green_processes import in_green_process
from _scripted_runners import (
    LAST_CHUNK,
    Pause,
    ScriptedRunners,
    Send,
    chunk,
    event,
    response,
    response_head,
)
from _serving_harness import ONCE, ROUTES, SERVICES, STREAM, Harness
from attrs import evolve

from cowslipstep.daemon._upstream_failures import NotSent
from cowslipstep.fleet import ColdStart, DiscoveredRunner, Route
from cowslipstep.model import Address
from cowslipstep.routing.cold import ColdAllowance
from cowslipstep.serving._cold_runners import ColdRunners
from cowslipstep.serving._cold_times import ColdFacts
from cowslipstep.serving._runner_table import RunnerEntries, RunnerTable
from cowslipstep.settings import ServingBounds

BOUNDS = ServingBounds(cold_overage=1.5, cold_slack=5)
UNKNOWN = DiscoveredRunner('a', 's', Address('127.0.0.1', 1), 'n', 1)
COLD = evolve(UNKNOWN, cold_s=2)
WARM = evolve(UNKNOWN, cold_s=0)
LIMITED = ColdStart(60, 2)
SETTLED_S = 10
WHOLE = (Pause(0.2), Send(response(b'done')))
STREAMED = (
    Pause(0.2),
    Send(response_head('Transfer-Encoding: chunked')),
    Send(chunk(event(0)) + LAST_CHUNK),
)
REQUESTS = 12


class Clock:
    """A clock that the test sets."""

    now_s: float = 0

    def __call__(self) -> float:
        """Return the time."""
        return self.now_s


def cold_runners(clock: Clock, bounds: ServingBounds = BOUNDS) -> ColdRunners:
    """Return the limits of a daemon that is alone and has settled."""
    runners = ColdRunners(
        ColdFacts(
            'd0', lambda: bounds, lambda _service: ColdStart(3, 2), bool, clock
        )
    )
    runners.update_fleet((), 1, 0)
    clock.now_s = SETTLED_S
    return runners


def written(runners: ColdRunners, wanted: int = 9) -> int:
    """Return how many requests may be written at once."""
    count = 0
    with contextlib.suppress(NotSent):
        while count < wanted:
            with runners.writing(UNKNOWN):
                count += 1
    return count


# The last entry may differ in the time only, or have none that is valid.
@pytest.mark.parametrize(
    ('entries', 'remaining_s'),
    [
        ((UNKNOWN,), 3),
        ((WARM,), 0),
        ((COLD,), 2),
        ((COLD, WARM), 0),
        ((WARM, COLD), 2),
        ((WARM, UNKNOWN), 3),
        ((COLD, UNKNOWN), 3),
        ((COLD, None), 0),
    ],
)
def test_last_entry_says_until_when(
    entries: tuple[DiscoveredRunner | None, ...], remaining_s: float
) -> None:
    runners = cold_runners(Clock())
    for former, present in zip((None, *entries), entries, strict=False):
        runners.times.observe(former, present)
    assert runners.times.remaining_s('a') == remaining_s


def test_entries_without_a_time_prolong_nothing() -> None:
    clock = Clock()
    runners = cold_runners(clock)
    runners.times.observe(None, UNKNOWN)
    clock.now_s += 2
    runners.times.observe(UNKNOWN, UNKNOWN)
    assert runners.times.remaining_s('a') == 1
    clock.now_s += 1
    assert runners.times.count == 0
    assert written(runners) == 9


def test_sliding_window_limits_requests() -> None:
    clock = Clock()
    runners = cold_runners(clock)
    runners.times.observe(None, UNKNOWN)
    assert written(runners) == 2
    assert not runners.may_send(UNKNOWN)
    clock.now_s += 1
    assert written(runners) == 0
    clock.now_s += 0.1
    assert written(runners) == 2


def test_refusal_names_a_time_to_come_back() -> None:
    runners = cold_runners(Clock())
    runners.times.observe(None, UNKNOWN)
    refusal = runners.refusal('s', random.Random(0))
    assert refusal is not None and refusal.retry_after_s > 1
    assert runners.refusal('other', random.Random(0)) is None


# A daemon that starts has forgotten what it sent a moment before.
def test_daemon_that_starts_sends_nothing() -> None:
    clock = Clock()
    runners = cold_runners(clock)
    clock.now_s = 2.9
    runners.times.observe(None, COLD)
    assert not runners.may_send(COLD)
    clock.now_s = 3
    assert runners.may_send(COLD)


# The others may deal out all that the bound allows.
def test_cut_off_daemon_sends_less() -> None:
    runners = cold_runners(Clock(), ServingBounds(cold_overage=1))
    runners.times.observe(None, UNKNOWN)
    assert runners.may_send(UNKNOWN)
    runners.update_fleet(('d1',), 2, 2)
    assert not runners.may_send(UNKNOWN)


def test_without_the_bound_there_is_no_limit() -> None:
    runners = cold_runners(Clock(), ServingBounds())
    runners.times.observe(None, COLD)
    assert written(runners) == 9
    assert runners.times.count == 0


# Each call to the platform is paid for.
def test_names_of_daemons_are_read_again_once() -> None:
    clock = Clock()
    runners = cold_runners(clock)
    runners.update_fleet((), 1, 1)
    for is_due in (False, True):
        clock.now_s += 2
        runners.update_fleet((), 1, 3)
        assert runners.misses_daemons == is_due
    runners.update_fleet(('d1', 'd2'), 3, 3)
    assert not runners.misses_daemons


def decode(name: str, document: str) -> DiscoveredRunner:
    return evolve(UNKNOWN, name=name, cold_s=float(document))


def test_entry_that_differs_in_the_time_counts() -> None:
    runners = cold_runners(Clock())
    entries = RunnerEntries(RunnerTable(), decode, set, runners.times.observe)
    remaining_s = []
    for document in ('0', '2', '1', '1'):
        entries.put('a', document)
        remaining_s.append(runners.times.remaining_s('a'))
    assert remaining_s == [0, 2, 1, 1]


def harness(cold: int) -> Harness:
    """Return a daemon before two runners of each service, some of them cold."""
    serving = Harness(ScriptedRunners(2, STREAMED), ScriptedRunners(2, WHOLE))
    serving.configure(
        *ROUTES, services=[evolve(known, cold=LIMITED) for known in SERVICES]
    )
    state = serving.state
    state.settings = evolve(state.settings, bounds=BOUNDS)
    # The clock stands still, so that a slow machine frees no share.
    cold_state = state.cold_runners
    cold_state._facts = evolve(cold_state._facts, clock=float)
    cold_state.times._facts = cold_state._facts
    cold_state.update_fleet((), 1, 0)
    cold_state._allowance = ColdAllowance(starts_s=0)
    for number, runner in enumerate(state.runner_table.runners.values()):
        cold_state.times.observe(
            runner, evolve(runner, cold_s=60 if number % 2 < cold else 0)
        )
    return serving


def exchanged(cold: int, route: Route) -> tuple[Counter[int], int, bool]:
    """Send requests at the same time.

    Returns their statuses, how many were held back, and whether a runner is
    suspected.
    """
    serving = harness(cold)
    routes = itertools.repeat(route, REQUESTS)
    received = eventlet.GreenPool(REQUESTS).imap(serving.exchange, routes)
    statuses = Counter(one.status for one in received)
    return (
        statuses,
        serving.state.cold_runners.held_back,
        bool(serving.state.suspicions.suspected_upstreams),
    )


# All requests choose a runner before any of them is written, so that most of
# those at the cold one are not sent and go to the other one.
@pytest.mark.parametrize('route', [ONCE, STREAM], ids=lambda route: route.name)
def test_requests_go_elsewhere(route: Route) -> None:
    statuses, held_back, suspected = in_green_process(exchanged, 1, route)
    assert statuses == {200: REQUESTS}
    assert held_back and not suspected


@pytest.mark.parametrize('route', [ONCE, STREAM], ids=lambda route: route.name)
def test_requests_are_refused_if_all_are_cold(route: Route) -> None:
    statuses, held_back, suspected = in_green_process(exchanged, 2, route)
    assert statuses == {200: 4, 503: REQUESTS - 4}
    assert held_back and not suspected
