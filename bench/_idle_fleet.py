"""Fleets of daemons without requests, for measurements of control."""

from __future__ import annotations

import contextlib
import json
from collections.abc import Iterator
from typing import Any

import urllib3

from cowslipstep_standins._documents import fleet_configuration
from cowslipstep_standins._fleet import LocalFleet
from cowslipstep_standins._launcher import launcher, start_standins
from cowslipstep_standins._plan import FleetShape
from cowslipstep_standins._address_plan import plan_fleet
from cowslipstep_standins._processes import wait_until

_DAEMONS_PER_DOMAIN = 15
_START_TIMEOUT_S = 120
_MAX_CONNECTIONS = 256
_OK = 200
HTTP = urllib3.PoolManager(num_pools=_MAX_CONNECTIONS, retries=False)


@contextlib.contextmanager
def idle_fleet(daemons: int) -> Iterator[LocalFleet]:
    domains = max(min(3, daemons), -(-daemons // _DAEMONS_PER_DOMAIN))
    plan = plan_fleet(_shape(daemons, domains))
    with launcher() as processes:
        fleet = LocalFleet(plan, processes)
        start_standins(processes, plan)
        fleet.submit(_configuration(fleet))
        for daemon in plan.daemons:
            fleet.start_daemon(daemon.name)
        wait_until(
            lambda: all(map(_is_ready, plan.daemons)),
            f'{daemons} ready daemons',
            _START_TIMEOUT_S,
        )
        yield fleet


def _shape(daemons: int, domains: int) -> FleetShape:
    names = tuple(f'domain-{number}' for number in range(domains))
    return FleetShape(daemons, names, hosts_per_domain=0)


def _configuration(fleet: LocalFleet) -> dict[str, Any]:
    wait_until(lambda: _answers(fleet.plan.platform), 'the platform')
    return fleet_configuration(fleet.plan)


def _answers(address: str) -> bool:
    with contextlib.suppress(urllib3.exceptions.HTTPError):
        answer = HTTP.request('GET', f'http://{address}/standin')
        return answer.status == _OK
    return False


def _is_ready(daemon: Any) -> bool:
    with contextlib.suppress(urllib3.exceptions.HTTPError):
        answer = HTTP.request('GET', f'http://{daemon.http}/readyz')
        said = json.loads(answer.data)
        return bool(said['ready']) and said['daemon'] == daemon.name
    return False
