"""Reads the records and counters that the processes of a fleet keep."""

from __future__ import annotations

import operator
from typing import Any

from cowslipstep_standins._balancer import Balancer
from cowslipstep_standins._fleet import LocalFleet
from cowslipstep_standins._processes import wait_until

_ANSWERED = 'outcome="answered"'


def engine_runs(fleet: LocalFleet) -> list[Any]:
    """Return the records of all requests that the engines ran."""
    return [
        run
        for host in fleet.plan.hosts
        for run in fleet.control(host.address)['runs']
    ]


def service_calls(fleet: LocalFleet) -> list[Any]:
    """Return the records of all calls that the plain services ran."""
    return [
        call
        for address in fleet.plan.services
        for call in fleet.control(address)['calls']
    ]


def wait_for_platform_responses(fleet: LocalFleet) -> None:
    """Wait until the platform has responded once more to each daemon.

    After an outage the daemons back off and refuse orders until their next
    successful call.

    Raises
    ------
    FleetError
        If that takes longer than 30 seconds.
    """
    before = _count_answered_calls(fleet)
    wait_until(
        lambda: all(map(operator.lt, before, _count_answered_calls(fleet))),
        'a new response of the platform to each daemon',
    )


def _count_answered_calls(fleet: LocalFleet) -> list[float]:
    balancer = Balancer(fleet)
    return [
        balancer.metric(daemon.name, 'platform_calls_total', _ANSWERED)
        for daemon in fleet.plan.daemons
    ]
