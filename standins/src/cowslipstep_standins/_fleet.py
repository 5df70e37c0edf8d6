"""A local fleet: stand-ins and daemons as separate processes on loopback."""

from __future__ import annotations

import contextlib
import json
from collections.abc import Callable, Iterator
from typing import Any

import urllib3

from cowslipstep_standins._address_plan import plan_fleet
from cowslipstep_standins._caller import Caller
from cowslipstep_standins._documents import (
    daemon_settings,
    fleet_configuration,
)
from cowslipstep_standins._health_probes import formed_groups, is_responding
from cowslipstep_standins._launcher import (
    Launcher,
    LoggedProcess,
    launcher,
    start_standins,
)
from cowslipstep_standins._outcomes import Call
from cowslipstep_standins._plan import FleetPlan, FleetShape
from cowslipstep_standins._processes import (
    FleetError,
    wait_until,
)

_CONTROL_TIMEOUT_S = 5


class LocalFleet:
    """The running processes of a fleet plan.

    Parameters
    ----------
    plan
        Names and addresses of the processes.
    processes
        Launcher that starts the processes.
    """

    def __init__(self, plan: FleetPlan, processes: Launcher) -> None:
        self._plan = plan
        self._processes = processes
        self._daemons: dict[str, LoggedProcess] = {}
        self._http = urllib3.PoolManager(retries=False)

    @property
    def plan(self) -> FleetPlan:
        """Names and addresses of the processes."""
        return self._plan

    def daemon(self, name: str) -> LoggedProcess:
        """Return the process of a daemon."""
        return self._daemons[name]

    def start_daemon(
        self,
        name: str,
        settings: dict[str, Any] | None = None,
    ) -> LoggedProcess:
        """Start a daemon with the settings of the plan, or with others."""
        document = settings or daemon_settings(
            self._plan,
            self._plan.daemon(name),
        )
        path = self._processes.write(f'{name}.json', json.dumps(document))
        process = self._processes.start('cowslipstep.daemon', [str(path)], name)
        self._daemons[name] = process
        return process

    def submit(self, configuration: dict[str, Any]) -> None:
        """Submit a configuration with the operators' command line."""
        body = json.dumps(configuration)
        path = self._processes.write('configuration.json', body)
        arguments = ['submit', str(path), '--platform', self._plan.platform]
        tool = self._processes.start('cowslipstep.cli', arguments, 'tool')
        wait_until(
            lambda: not tool.running,
            'the submission by the operators tool has ended',
        )

    def control(
        self,
        address: str,
        faults: dict[str, Any] | list[Any] | None = None,
    ) -> Any:
        """Set the faults of a stand-in, if given, and return its records."""
        response = self._http.request(
            'GET' if faults is None else 'PUT',
            f'http://{address}/standin',
            body=None if faults is None else json.dumps(faults),
            timeout=_CONTROL_TIMEOUT_S,
        )
        return response.json()

    def wait_until_serving(self) -> None:
        """Wait until all groups have formed and each daemon serves a request.

        Raises
        ------
        FleetError
            If the groups or the first request of a daemon take longer
            than 30 seconds.
        """
        http = self._http
        hosts = [host.address for host in self._plan.hosts]
        wait_until(
            lambda: len(formed_groups(http, hosts)) >= self._plan.groups,
            'all groups formed',
        )
        call = Call('warm-up', self._plan.shape.workspaces[0], tokens=1)
        for daemon in self._plan.daemons:
            wait_until(
                _completes(call, daemon.http),
                f'daemon {daemon.name} serves a request',
            )


@contextlib.contextmanager
def local_fleet(shape: FleetShape) -> Iterator[LocalFleet]:
    """Start a fleet and kill its processes on exit.

    Raises
    ------
    FleetError
        If the fleet does not serve in time; the message ends with the
        tails of all logs.
    """
    plan = plan_fleet(shape)
    with launcher() as processes:
        fleet = LocalFleet(plan, processes)
        start_standins(processes, plan)
        _wait_for_platform(plan.platform)
        fleet.submit(fleet_configuration(plan))
        for daemon in plan.daemons:
            fleet.start_daemon(daemon.name)
        try:
            fleet.wait_until_serving()
        except FleetError as error:
            tails = processes.log_tails()
            raise FleetError(f'{error}\n{tails}') from error
        yield fleet


def _completes(call: Call, address: str) -> Callable[[], bool]:
    return lambda: Caller().send(address, call).correct


def _wait_for_platform(address: str) -> None:
    http = urllib3.PoolManager(retries=False)
    wait_until(
        lambda: is_responding(http, address), 'the platform stand-in responds'
    )
