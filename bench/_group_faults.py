"""Recovery from faults in a local fleet, by the start times of runs.

The start times are those that the stand-in engines record.
"""

from __future__ import annotations

import itertools
import json
import time
from typing import Any

import urllib3

from cowslipstep_standins._background_load import background_load
from cowslipstep_standins._fleet import LocalFleet, local_fleet
from cowslipstep_standins._plan import FleetShape
from cowslipstep_standins._processes import wait_until
from cowslipstep_standins._records import engine_runs

_DOMAIN = 'port-louis'
_SHAPE = FleetShape(daemons=3, hosts_per_domain=5)
_WARM_UP_REQUESTS = 20
_FAILOVER_WINDOW_S = 20
_RECOVERY_TIMEOUT_S = 30


def recovery_s(fault: str) -> float:
    """Time from the fault of a member to the first run on a new group."""
    with local_fleet(_SHAPE) as fleet, background_load(fleet) as load:
        wait_until(
            lambda: len(load.outcomes) > _WARM_UP_REQUESTS,
            'requests before the fault',
        )
        groups = read_ledger(fleet)['groups']
        victim = _address(fleet, groups[0]['members'][-1])
        fault_at_s = time.monotonic()
        fleet.control(victim, {fault: True})
        wait_until(
            lambda: bool(_starts_in_new_groups(fleet, groups)),
            'run on a new group',
            _RECOVERY_TIMEOUT_S,
        )
        # Streams of the old group end only when its members respond again.
        fleet.control(victim, {})
        return min(_starts_in_new_groups(fleet, groups)) - fault_at_s


def controller_failover_gap_s() -> float:
    """Longest time without a started run after the controller is killed."""
    with local_fleet(_SHAPE) as fleet:
        controller = read_ledger(fleet)['lease']['holder']
        others = {daemon.name for daemon in fleet.plan.daemons} - {controller}
        with background_load(fleet, daemons=tuple(others)) as load:
            wait_until(
                lambda: len(load.outcomes) > _WARM_UP_REQUESTS,
                'requests before the kill',
            )
            fleet.daemon(controller).kill()
            time.sleep(_FAILOVER_WINDOW_S)
        return _longest_gap([run['started_s'] for run in engine_runs(fleet)])


def read_ledger(fleet: LocalFleet) -> Any:
    """Read the ledger of the fabric domain from the platform."""
    platform = fleet.plan.platform
    url = f'http://{platform}/objects/ledger/{_DOMAIN}'
    response = urllib3.PoolManager().request('GET', url)
    return json.loads(response.json()['body'])


def _starts_in_new_groups(
    fleet: LocalFleet, old_groups: list[Any]
) -> list[float]:
    names = {group['name'] for group in old_groups}
    return [
        run['started_s']
        for run in engine_runs(fleet)
        if run['group'] not in names
    ]


def _longest_gap(started_s: list[float]) -> float:
    pairs = itertools.pairwise(sorted(started_s))
    return max(later - earlier for earlier, later in pairs)


def _address(fleet: LocalFleet, host: str) -> str:
    return next(
        entry.address for entry in fleet.plan.hosts if entry.name == host
    )
