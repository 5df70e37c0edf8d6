"""Steps of the feature on orders with idempotency keys."""

from __future__ import annotations

import itertools
import random
import time
import uuid
from collections.abc import Iterator
from concurrent.futures import Future, ThreadPoolExecutor
from types import MappingProxyType

import attrs
import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from cowslipstep.delivery import locate_key
from cowslipstep_standins._balancer import Balancer
from cowslipstep_standins._caller import Caller
from cowslipstep_standins._fleet import LocalFleet, local_fleet
from cowslipstep_standins._invariants import count_outcomes
from cowslipstep_standins._outcomes import Call, Outcome
from cowslipstep_standins._plan import FleetShape
from cowslipstep_standins._processes import LocalProcess, wait_until
from cowslipstep_standins._records import (
    service_calls,
    wait_for_platform_responses,
)

scenarios('orders.feature')

_NUMBERS = itertools.count()
_SEED = 11
_CALLERS = 12
_UNLIMITED_CALLS = 1000
_NOT_ACCEPTED_CODES = frozenset(('stopping', 'NewConnectionError'))
_FAILURES_BEFORE_EJECTION = 3
_EJECTION_S = 5
_FAULT_FIELDS = MappingProxyType(
    {
        'cut before run': {'cut_before_run': 1},
        'cut after run': {'cut_after_run': 1},
        'fail after run': {'fail_after_run': 1},
        'refuse': {'refuse': True},
    },
)
_RUNNER_FAULTS = ({}, {}, *_FAULT_FIELDS.values())
_PLATFORM_FAULTS = (
    {},
    {},
    {'lose_answers': 1, 'lose_kind': 'orders'},
    {'outage': True},
)


@attrs.define
class SentOrders:
    """The order of a scenario and the outcomes of its sends.

    Attributes
    ----------
    call
        First send of the order.
    sent
        Outcomes in the order of the sends.
    pending
        Outcome of the send that is in flight.
    exit_status
        Exit status of the daemon that was stopped.
    """

    fleet: LocalFleet
    call: Call
    sent: list[Outcome] = attrs.field(factory=list)
    pending: Future[Outcome] | None = None
    exit_status: int | None = None

    def send(self, daemon: int, call: Call) -> Outcome:
        """Send a call to a daemon."""
        plan = self.fleet.plan.daemon(f'd{daemon}')
        return Caller().send(plan.http, call)

    def wait_for_pending(self) -> None:
        """Wait for the send that is in flight; it was the first one."""
        if self.pending is not None:
            self.sent.insert(0, self.pending.result())
            self.pending = None

    def count_runs(self) -> int:
        """Count the runs of the order."""
        calls = service_calls(self.fleet)
        return sum(call['key'] == self.call.key for call in calls)


@pytest.fixture(scope='module')
def order_fleet() -> Iterator[LocalFleet]:
    with local_fleet(FleetShape(daemons=3, services=2)) as fleet:
        yield fleet


@pytest.fixture
def pool() -> Iterator[ThreadPoolExecutor]:
    with ThreadPoolExecutor(_CALLERS + 1) as threads:
        yield threads


@given(
    'a fleet of three daemons and two runners that store orders',
    target_fixture='orders',
)
def given_orders(order_fleet: LocalFleet) -> Iterator[SentOrders]:
    number = next(_NUMBERS)
    call = Call(f'mallets {number}', 'grid-a', key=f'k-{number}', service=True)
    yield SentOrders(order_fleet, call)
    set_runners(order_fleet, {})
    set_platform(order_fleet, {})
    for daemon in order_fleet.plan.daemons:
        if not order_fleet.daemon(daemon.name).running:
            order_fleet.start_daemon(daemon.name)
    order_fleet.wait_until_serving()
    wait_for_platform_responses(order_fleet)


def set_runners(fleet: LocalFleet, faults: dict) -> None:
    for address in fleet.plan.services:
        fleet.control(address, faults)


def set_platform(fleet: LocalFleet, faults: dict) -> None:
    fleet.control(fleet.plan.platform, faults)


@given(parsers.parse('both runners fail the next call by "{fault}"'))
def fail_next_call(orders: SentOrders, fault: str) -> None:
    set_runners(orders.fleet, _FAULT_FIELDS[fault])


@given(parsers.parse('the runners take {seconds:g} second for a call'))
def slow_runners(orders: SentOrders, seconds: float) -> None:
    set_runners(orders.fleet, {'delay_s': seconds})


@given(parsers.parse('the platform will lose {count:d} responses'))
def lose_responses(orders: SentOrders, count: int) -> None:
    faults = {'lose_answers': count, 'lose_kind': 'orders'}
    set_platform(orders.fleet, faults)


@given('the platform is down')
def stop_platform(orders: SentOrders) -> None:
    set_platform(orders.fleet, {'outage': True})


@given(parsers.parse('daemon {daemon:d} is cut off from the platform'))
def cut_off_platform(orders: SentOrders, daemon: int) -> None:
    set_platform(orders.fleet, {'cut_off': [f'd{daemon}']})


@when(
    parsers.parse(
        '{count:d} orders with time-based and other keys are sent to all '
        'daemons',
    ),
    target_fixture='outcomes',
)
def send_to_all(orders: SentOrders, count: int) -> list[Outcome]:
    return [
        orders.send(
            number % 3,
            Call('x', 'grid-a', key=key, service=True),
        )
        for number, key in enumerate(map(random_key, range(count)))
    ]


@when(
    'orders are sent to all ready daemons while daemon 2 stops',
    target_fixture='outcomes',
)
def send_during_stop(
    orders: SentOrders,
    pool: ThreadPoolExecutor,
) -> list[Outcome]:
    balancer = Balancer(orders.fleet)
    stopping = orders.fleet.daemon('d2')
    callers = [
        pool.submit(send_until_stopped, balancer, stopping, caller)
        for caller in range(_CALLERS)
    ]
    pool.submit(time.sleep, 1).result()
    orders.exit_status = stopping.stop()
    return [outcome for caller in callers for outcome in caller.result()]


def send_until_stopped(
    balancer: Balancer,
    stopping: LocalProcess,
    caller: int,
) -> list[Outcome]:
    outcomes = []
    while stopping.running:
        number = next(_NUMBERS)
        call = Call('x', 'grid-a', key=random_key(number), service=True)
        outcomes.append(send_by_balancer(balancer, call, caller + number))
    return outcomes


def send_by_balancer(balancer: Balancer, call: Call, turn: int) -> Outcome:
    """Send a call, again to a ready daemon while none has accepted it."""
    outcome = balancer.caller.send(balancer.choose_address(turn), call)
    while outcome.code in _NOT_ACCEPTED_CODES:
        outcome = balancer.caller.send(balancer.choose_address(turn), call)
    return outcome


@then('daemon 2 exits with status 0')
def check_stopped(orders: SentOrders) -> None:
    assert orders.exit_status == 0


@then('each receives its stored response when it is sent again')
def check_replays(orders: SentOrders, outcomes: list[Outcome]) -> None:
    for first in outcomes:
        again = orders.send(0, attrs.evolve(first.call, attempt=2))
        assert again.verdict == 'completed'
        assert again.headers['Idempotent-Replayed'] == 'true'


@given('the runner that is chosen first fails every call')
def fail_first_runner(orders: SentOrders) -> None:
    first = min(orders.fleet.plan.services, key=get_port)
    wait_until(
        lambda: runs_order(orders, first), 'the first runner is not ejected'
    )
    orders.fleet.control(first, {'fail_after_run': _UNLIMITED_CALLS})


def get_port(address: str) -> int:
    return int(address.rpartition(':')[-1])


def runs_order(orders: SentOrders, runner: str) -> bool:
    """Send an order and return whether that runner has run it."""
    key = random_key(next(_NUMBERS))
    orders.send(0, Call('x', 'grid-a', key=key, service=True))
    calls = orders.fleet.control(runner)['calls']
    return any(call['key'] == key for call in calls)


@given('both runners fail every call')
def fail_all_runners(orders: SentOrders) -> None:
    set_runners(orders.fleet, {'fail_after_run': _UNLIMITED_CALLS})


@when(
    parsers.parse('{count:d} orders are sent to daemon 0'),
    target_fixture='outcomes',
)
def send_to_one(orders: SentOrders, count: int) -> list[Outcome]:
    return [
        orders.send(0, Call('x', 'grid-a', key=key, service=True))
        for key in map(random_key, range(count))
    ]


@then('no more calls failed than its ejections allow')
def check_ejected(outcomes: list[Outcome]) -> None:
    elapsed_s = time.monotonic() - outcomes[0].started_s
    failed = [outcome for outcome in outcomes if not outcome.correct]
    assert len(failed) >= _FAILURES_BEFORE_EJECTION
    assert len(failed) <= _FAILURES_BEFORE_EJECTION + elapsed_s / _EJECTION_S


@given(parsers.parse('the platform takes {seconds:g} seconds for a call'))
def slow_platform(orders: SentOrders, seconds: float) -> None:
    set_platform(orders.fleet, {'delay_s': seconds})


@when('the runners accept calls again')
def restore_runners(orders: SentOrders) -> None:
    set_runners(orders.fleet, {})


@when('the platform responds without delay again')
def restore_platform(orders: SentOrders) -> None:
    set_platform(orders.fleet, {})


@when(parsers.parse('an order is sent to daemon {daemon:d}'))
def send_first(orders: SentOrders, daemon: int) -> None:
    orders.sent.append(orders.send(daemon, orders.call))


@when(parsers.parse('it is sent again to daemon {daemon:d}'))
def send_again(orders: SentOrders, daemon: int) -> None:
    again = attrs.evolve(orders.call, attempt=2)
    orders.sent.append(orders.send(daemon, again))


@when(
    parsers.parse('a different order is sent with its key to daemon {daemon:d}')
)
def send_different(orders: SentOrders, daemon: int) -> None:
    other = attrs.evolve(orders.call, prompt='other', attempt=2)
    orders.sent.append(orders.send(daemon, other))


@when(parsers.parse('an order is in flight through daemon {daemon:d}'))
def start_sending(
    orders: SentOrders,
    daemon: int,
    pool: ThreadPoolExecutor,
) -> None:
    orders.pending = pool.submit(orders.send, daemon, orders.call)


@when(parsers.parse('daemon {daemon:d} is killed once the order runs'))
def kill_daemon(orders: SentOrders, daemon: int) -> None:
    wait_until(lambda: orders.count_runs() == 1, 'the order runs')
    orders.fleet.daemon(f'd{daemon}').kill()


@when(parsers.parse('daemon {daemon:d} is paused once its claim is stored'))
def pause_after_claim(orders: SentOrders, daemon: int) -> None:
    writes = count_writes(orders.fleet)
    wait_until(
        lambda: count_writes(orders.fleet) > writes,
        'a claim is in flight',
    )
    orders.fleet.daemon(f'd{daemon}').pause()
    wait_until(lambda: is_claim_stored(orders), 'the claim is stored')


def count_writes(fleet: LocalFleet) -> int:
    counts = fleet.control(fleet.plan.platform)['counts']
    return counts.get('POST orders', 0) + counts.get('PUT orders', 0)


def is_claim_stored(orders: SentOrders) -> bool:
    call = orders.call
    location = locate_key(call.workspace, call.key, 0, 1)
    platform = orders.fleet.plan.platform
    url = f'http://{platform}/objects/orders'
    listed = Balancer(orders.fleet).http.request('GET', url)
    return location.digest in listed.data.decode()


@when(parsers.parse('daemon {daemon:d} resumes'))
def resume_daemon(orders: SentOrders, daemon: int) -> None:
    orders.fleet.daemon(f'd{daemon}').resume()


@when(parsers.parse('daemon {daemon:d} is paused'))
def pause_now(orders: SentOrders, daemon: int) -> None:
    orders.fleet.daemon(f'd{daemon}').pause()


@when(
    parsers.parse(
        '{count:d} orders with time-based keys are sent '
        + 'to daemons 0 and 1',
    ),
    target_fixture='outcomes',
)
def send_timed(orders: SentOrders, count: int) -> list[Outcome]:
    return [
        orders.send(
            index % 2,
            Call('x', 'grid-a', key=timed_key(index), service=True),
        )
        for index in range(count)
    ]


def timed_key(number: int) -> str:
    """Return a version 7 UUID, which contains the current time."""
    issued = int(time.time() * 1000) << 80
    version = 7 << 76
    variant = 2 << 62
    return str(uuid.UUID(int=issued + version + variant + number))


@then('all of them complete')
def check_all_completed(outcomes: list[Outcome]) -> None:
    assert all(outcome.correct for outcome in outcomes)


@when(
    parsers.parse(
        '{count:d} orders are sent 1 to 5 times while faults come and go',
    ),
    target_fixture='outcomes',
)
def send_under_faults(orders: SentOrders, count: int) -> list[Outcome]:
    rng = random.Random(_SEED)
    return [
        send_with_fault(orders, call, rng)
        for number in range(count)
        for call in repeated_sends(random_key(number), rng)
    ]


def random_key(number: int) -> str:
    return timed_key(number) if number % 2 else f'r-{next(_NUMBERS)}'


def repeated_sends(key: str, rng: random.Random) -> list[Call]:
    call = Call(key, 'grid-b', key=key, service=True)
    attempts = range(1, rng.randint(1, 5) + 1)
    return [attrs.evolve(call, attempt=attempt) for attempt in attempts]


def send_with_fault(
    orders: SentOrders, call: Call, rng: random.Random
) -> Outcome:
    set_runners(orders.fleet, rng.choice(_RUNNER_FAULTS))
    set_platform(orders.fleet, rng.choice(_PLATFORM_FAULTS))
    return orders.send(rng.randrange(3), call)


@then(parsers.re('the only verdict is "(?P<only>[^"]+)"$'))
def check_verdict(orders: SentOrders, only: str) -> None:
    assert [outcome.verdict for outcome in orders.sent] == [only]


@then(parsers.re('the verdicts are "(?P<first>[^"]+)" and "(?P<second>[^"]+)"'))
def check_verdicts(orders: SentOrders, first: str, second: str) -> None:
    orders.wait_for_pending()
    verdicts = [outcome.verdict for outcome in orders.sent]
    assert verdicts == [first, second]


@then(parsers.parse('the second verdict is "{second}"'))
def check_second(orders: SentOrders, second: str) -> None:
    orders.wait_for_pending()
    assert orders.sent[1].verdict == second


@then('the two responses are the same')
def check_same(orders: SentOrders) -> None:
    first, second = orders.sent
    assert first.correct
    assert first.text == second.text
    assert second.headers['Idempotent-Replayed'] == 'true'


@then(parsers.parse('the second code is "{code}"'))
def check_code(orders: SentOrders, code: str) -> None:
    assert orders.sent[1].code == code


@then(parsers.parse('the order ran {count:d} time'))
def check_runs(orders: SentOrders, count: int) -> None:
    assert orders.count_runs() == count


@then('the order ran at most once')
def check_at_most_once(orders: SentOrders) -> None:
    assert orders.count_runs() <= 1


@then('no order ran twice')
def check_none_twice(outcomes: list[Outcome], orders: SentOrders) -> None:
    counts = count_outcomes(outcomes, orders.fleet)
    assert counts.doubled == 0
    assert counts.misdelivered == 0
    assert counts.answered > 0


@then('no order that ran has the verdict "not_run"')
def check_not_run(outcomes: list[Outcome], orders: SentOrders) -> None:
    assert count_outcomes(outcomes, orders.fleet).false_not_run == 0
