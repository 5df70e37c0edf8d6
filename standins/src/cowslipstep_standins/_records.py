"""Records that the processes of a fleet keep of what they did."""

from __future__ import annotations

import operator
from typing import Any

from cowslipstep_standins._balancer import Balancer
from cowslipstep_standins._fleet import LocalFleet
from cowslipstep_standins._processes import wait_until

_ANSWERED = 'outcome="answered"'


def engine_runs(fleet: LocalFleet) -> list[Any]:
    """Records of all requests that engines ran."""
    return [
        run
        for host in fleet.plan.hosts
        for run in fleet.control(host.address)['runs']
    ]


def service_calls(fleet: LocalFleet) -> list[Any]:
    """Records of all calls that plain services ran."""
    return [
        call
        for address in fleet.plan.services
        for call in fleet.control(address)['calls']
    ]


def wait_platform_answers(fleet: LocalFleet) -> None:
    """Wait until the platform has answered each daemon anew.

    After an outage daemons back off, and refuse orders for that time.

    Raises
    ------
    FleetError
        If that takes too long.
    """
    before = _answered_calls(fleet)
    wait_until(
        lambda: all(map(operator.lt, before, _answered_calls(fleet))),
        'an answer of the platform to each daemon',
    )


def _answered_calls(fleet: LocalFleet) -> list[float]:
    balancer = Balancer(fleet)
    return [
        balancer.metric(daemon.name, 'platform_calls_total', _ANSWERED)
        for daemon in fleet.plan.daemons
    ]
