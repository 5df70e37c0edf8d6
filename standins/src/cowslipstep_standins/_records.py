"""Records that the processes of a fleet keep of what they did."""

from __future__ import annotations

import operator
import re
from typing import Any

import urllib3

from cowslipstep_standins._fleet import LocalFleet
from cowslipstep_standins._processes import wait_until

_ANSWERED = re.compile('platform_calls.*outcome="answered".* ([0-9]+)')


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


def _answered_calls(fleet: LocalFleet) -> list[int]:
    texts = [
        urllib3.request('GET', f'http://{daemon.http}/metrics').data.decode()
        for daemon in fleet.plan.daemons
    ]
    return [sum(map(int, _ANSWERED.findall(text))) for text in texts]
