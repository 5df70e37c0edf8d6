"""Fleets without requests, to measure the cost of the control plane."""

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
    """Run a fleet without hosts; yield it once all daemons are ready."""
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
            f'{daemons} daemons ready',
            _START_TIMEOUT_S,
        )
        yield fleet


def _shape(daemons: int, domains: int) -> FleetShape:
    names = tuple(f'domain-{number}' for number in range(domains))
    return FleetShape(daemons, names, hosts_per_domain=0)


def _configuration(fleet: LocalFleet) -> dict[str, Any]:
    wait_until(
        lambda: _responds(fleet.plan.platform), 'response of the platform'
    )
    return fleet_configuration(fleet.plan)


def _responds(address: str) -> bool:
    with contextlib.suppress(urllib3.exceptions.HTTPError):
        response = HTTP.request('GET', f'http://{address}/standin')
        return response.status == _OK
    return False


def _is_ready(daemon: Any) -> bool:
    with contextlib.suppress(urllib3.exceptions.HTTPError):
        response = HTTP.request('GET', f'http://{daemon.http}/readyz')
        readiness = json.loads(response.data)
        return bool(readiness['ready']) and readiness['daemon'] == daemon.name
    return False
