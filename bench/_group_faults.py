"""Faults of groups in a local fleet, timed by the engines' own records."""

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
_WARM_UP = 20
_GAP_WAIT_S = 20
_WAIT_S = 30


def recovery_s(fault: str) -> float:
    """Time from a member's fault to the first run on a new whole group."""
    with local_fleet(_SHAPE) as fleet, background_load(fleet) as load:
        wait_until(lambda: len(load.outcomes) > _WARM_UP, 'load')
        groups = read_ledger(fleet)['groups']
        victim = _address(fleet, groups[0]['members'][-1])
        struck_s = time.monotonic()
        fleet.control(victim, {fault: True})
        wait_until(lambda: bool(_new_runs(fleet, groups)), 'runs', _WAIT_S)
        # Streams of the old group end only once its members answer.
        fleet.control(victim, {})
        return min(_new_runs(fleet, groups)) - struck_s


def keeper_gap_s() -> float:
    """Longest time without a started run after the keeper is killed."""
    with local_fleet(_SHAPE) as fleet:
        keeper = read_ledger(fleet)['lease']['holder']
        others = {daemon.name for daemon in fleet.plan.daemons} - {keeper}
        with background_load(fleet, daemons=tuple(others)) as load:
            wait_until(lambda: len(load.outcomes) > _WARM_UP, 'load')
            fleet.daemon(keeper).kill()
            time.sleep(_GAP_WAIT_S)
        return _longest_gap([run['started_s'] for run in engine_runs(fleet)])


def read_ledger(fleet: LocalFleet) -> Any:
    """Read the ledger of the fabric domain from the platform."""
    platform = fleet.plan.platform
    url = f'http://{platform}/objects/ledger/{_DOMAIN}'
    answer = urllib3.PoolManager().request('GET', url)
    return json.loads(answer.json()['body'])


def _new_runs(fleet: LocalFleet, old: list[Any]) -> list[float]:
    names = {group['name'] for group in old}
    return [
        run['started_s']
        for run in engine_runs(fleet)
        if run['group'] not in names
    ]


def _longest_gap(moments: list[float]) -> float:
    pairs = itertools.pairwise(sorted(moments))
    return max(later - early for early, later in pairs)


def _address(fleet: LocalFleet, host: str) -> str:
    return next(
        entry.address for entry in fleet.plan.hosts if entry.name == host
    )
