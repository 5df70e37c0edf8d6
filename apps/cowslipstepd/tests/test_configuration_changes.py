"""Callers get a response or a refusal while the configuration changes."""

from __future__ import annotations

import itertools
from collections.abc import Callable, Iterator

import eventlet
import pytest
from _callers import Caller, Received
from _green_processes import in_green_process
from _scripted_runners import (
    LAST_CHUNK,
    Close,
    Pause,
    Script,
    ScriptedRunners,
    Send,
    chunk,
    event,
    refusal,
    response,
    response_head,
)
from _serving_harness import (
    ENGINES,
    PLAIN,
    ROUTES,
    SERVICES,
    STREAM,
    Harness,
)
from attrs import evolve

from cowslipstep.fleet import (
    RequestKind,
    Route,
    ServiceConfiguration,
    WeightedService,
)

IDS = ('quotes', 'once', 'stream')
EVENTS = event(0) + event(1)
STREAM_HEAD = response_head('Transfer-Encoding: chunked')
WHOLE_STREAM = STREAM_HEAD + chunk(EVENTS) + LAST_CHUNK
CHANGE_DELAY_S = 0.2
# Long enough for the change, and short enough for an attempt at a stream.
WAIT_S = 0.35
Change = Callable[[Harness, Route], None]
MakeChange = Callable[[], None]
Moment = Callable[[Caller, Route, MakeChange], Iterator[Received]]
# Statuses that a daemon may answer with while a route is there or removed.
ANSWERS = frozenset((200, 404, 502, 503, 504))


def remove_route(harness: Harness, route: Route) -> None:
    harness.configure(*(other for other in ROUTES if other != route))


def remove_all(harness: Harness, _route: Route) -> None:
    harness.configure()


def move(harness: Harness, route: Route) -> None:
    first = route.weighted_services[0].service
    other = PLAIN if first == ENGINES else ENGINES
    moved = evolve(route, weighted_services=(WeightedService(other),))
    harness.configure(*ROUTES, moved)


def move_to_unknown_service(harness: Harness, route: Route) -> None:
    moved = evolve(route, weighted_services=(WeightedService('unknown'),))
    harness.configure(*ROUTES, moved)


def split(harness: Harness, route: Route) -> None:
    both = (WeightedService(PLAIN), WeightedService(ENGINES))
    harness.configure(*ROUTES, evolve(route, weighted_services=both))


def cut_timeout(harness: Harness, route: Route) -> None:
    harness.configure(*ROUTES, evolve(route, timeout_s=0.1))


def change_kind(harness: Harness, route: Route) -> None:
    kind = (
        RequestKind.non_idempotent if route.streaming else RequestKind.streaming
    )
    harness.configure(*ROUTES, evolve(route, kind=kind))


def remove_services(harness: Harness, _route: Route) -> None:
    harness.configure(*ROUTES, services=())


def remove_engine(harness: Harness, _route: Route) -> None:
    plain = (ServiceConfiguration(ENGINES), ServiceConfiguration(PLAIN))
    harness.configure(*ROUTES, services=plain)


def add_engine(harness: Harness, _route: Route) -> None:
    engine = SERVICES[0].engine
    added = (ServiceConfiguration(PLAIN, engine), *SERVICES[:1])
    harness.configure(*ROUTES, services=added)


CHANGES = (
    remove_route,
    remove_all,
    move,
    move_to_unknown_service,
    split,
    cut_timeout,
    change_kind,
    remove_services,
    remove_engine,
    add_engine,
)


def whole(route: Route) -> bytes:
    return WHOLE_STREAM if route.streaming else response(b'done')


def between_requests(
    caller: Caller, route: Route, change: MakeChange
) -> Iterator[Received]:
    yield caller.exchange(route)
    change()
    # A refusal keeps the connection open, too.
    yield caller.exchange(route)
    yield caller.exchange(route)


def before_the_body(
    caller: Caller, route: Route, change: MakeChange
) -> Iterator[Received]:
    caller.send_head(route)
    eventlet.sleep(CHANGE_DELAY_S)
    change()
    caller.send_body()
    yield caller.receive()
    yield caller.exchange(route)


def while_in_progress(
    caller: Caller, route: Route, change: MakeChange
) -> Iterator[Received]:
    eventlet.spawn_after(CHANGE_DELAY_S, change)
    yield caller.exchange(route)
    yield caller.exchange(route)


MOMENTS = (between_requests, before_the_body, while_in_progress)


def scripts_of(route: Route) -> dict[str, tuple[Script, ...]]:
    """Return scripts for the runners that a request reaches, by name."""
    sent = Send(whole(route))
    return {
        'at once': ((sent,),),
        'after a wait': ((Pause(WAIT_S), sent),),
        'refused': ((Pause(WAIT_S), Send(refusal())), (sent,)),
        'closed': ((Pause(WAIT_S), Close()), (sent,)),
    }


def received_with(
    scripts: tuple[Script, ...],
    route: Route,
    change: Change,
    moment: Moment,
) -> list[Received]:
    runners = ScriptedRunners(2, *scripts)
    harness = Harness(runners, runners)
    caller = harness.connect()
    return list(moment(caller, route, lambda: change(harness, route)))


def is_answer(received: Received) -> bool:
    return received.status in ANSWERS and received.whole


def unanswered(route: Route, change: Change, moment: Moment) -> list[str]:
    """Return the scripts with which a request was not answered."""
    return [
        f'{change.__name__}, {name}'
        for name, scripts in scripts_of(route).items()
        if not all(
            map(is_answer, received_with(scripts, route, change, moment))
        )
    ]


def all_unanswered(route: Route, moment: Moment) -> list[str]:
    pool = eventlet.GreenPool()
    started = [
        pool.spawn(unanswered, route, change, moment) for change in CHANGES
    ]
    return list(itertools.chain.from_iterable(task.wait() for task in started))


@pytest.mark.parametrize('route', ROUTES, ids=IDS)
@pytest.mark.parametrize('moment', MOMENTS)
def test_each_request_is_answered(route: Route, moment: Moment) -> None:
    assert not in_green_process(all_unanswered, route, moment)


def streams_in_progress(*scripts: Script) -> dict[str, Received]:
    """Return what callers receive whose streams have begun at the change."""
    pool = eventlet.GreenPool()
    started = {
        change.__name__: pool.spawn(
            received_with, scripts, STREAM, change, while_in_progress
        )
        for change in CHANGES
    }
    return {name: task.wait()[0] for name, task in started.items()}


def test_stream_in_progress_goes_on() -> None:
    script = (
        Send(STREAM_HEAD + chunk(event(0))),
        Pause(WAIT_S),
        Send(chunk(event(1)) + LAST_CHUNK),
    )
    by_change = in_green_process(streams_in_progress, script)
    seen = {received.response for received in by_change.values()}
    assert seen == {(200, EVENTS, True)}
