"""A local fleet: stand-ins and daemons as separate processes on loopback."""

from __future__ import annotations

import contextlib
import json
import pathlib
import tempfile
from collections.abc import Iterator
from typing import Any

import urllib3

from cowslipstep_standins._plan import FleetPlan, FleetShape, plan_fleet
from cowslipstep_standins._processes import (
    FleetError,
    LocalProcess,
    ended_at_exit,
    wait_until,
)

_CONTROL_TIMEOUT_S = 5
_OK = 200


class LocalFleet:
    """Running processes of a plan.

    Parameters
    ----------
    plan
        Addresses of the processes.
    folder
        Holds settings and logs.
    started
        Receives each process, to be ended by its owner.
    """

    def __init__(
        self,
        plan: FleetPlan,
        folder: pathlib.Path,
        started: list[LocalProcess],
    ) -> None:
        self._plan = plan
        self._folder = folder
        self._started = started
        self._daemons: dict[str, LocalProcess] = {}
        self._http = urllib3.PoolManager(retries=False)

    @property
    def plan(self) -> FleetPlan:
        """Addresses of the processes."""
        return self._plan

    @property
    def folder(self) -> pathlib.Path:
        """Folder with settings and logs."""
        return self._folder

    def daemon(self, name: str) -> LocalProcess:
        """Return the process of a daemon."""
        return self._daemons[name]

    def start_standins(self) -> None:
        """Start platform, engines and services, each kind on its own."""
        shape = self._plan.shape
        self._start('platform', ['--address', self._plan.platform])
        options = [f'--slots={shape.slots}', f'--token-s={shape.token_s}']
        options.append(f'--load-s={shape.load_s}')
        options.append('--fencing' if shape.fencing else '--no-fencing')
        hosts = [f'{host.name}={host.address}' for host in self._plan.hosts]
        if hosts:
            self._start('engine', [*options, *hosts])
        for address in self._plan.services:
            self._start('service', ['--address', address])
        wait_until(lambda: self.answers(self._plan.platform), 'platform')

    def start_daemon(self, name: str) -> LocalProcess:
        """Start one daemon of the plan."""
        (daemon,) = [
            entry for entry in self._plan.daemons if entry.name == name
        ]
        path = self._folder / f'{name}.json'
        path.write_text(json.dumps(self._plan.daemon_settings(daemon)))
        process = LocalProcess(
            'cowslipstep.daemon',
            [str(path)],
            self._folder / f'{name}.log',
        )
        self._started.append(process)
        self._daemons[name] = process
        return process

    def submit(self, configuration: dict[str, Any]) -> None:
        """Submit a configuration through the operators' tool."""
        path = self._folder / 'configuration.json'
        path.write_text(json.dumps(configuration))
        arguments = ['submit', str(path), '--platform', self._plan.platform]
        tool = LocalProcess(
            'cowslipstep.cli',
            arguments,
            self._folder / 'tool.log',
        )
        self._started.append(tool)
        wait_until(lambda: not tool.running, 'the operators tool')

    def answers(self, address: str) -> bool:
        """Whether anything answers HTTP at an address."""
        try:
            self._http.request('GET', f'http://{address}/standin', timeout=1)
        except urllib3.exceptions.HTTPError:
            return False
        return True

    def control(
        self,
        address: str,
        faults: dict[str, Any] | None = None,
    ) -> Any:
        """Set the faults of a stand-in, if given, and read its records."""
        answer = self._http.request(
            'GET' if faults is None else 'PUT',
            f'http://{address}/standin',
            body=None if faults is None else json.dumps(faults),
            timeout=_CONTROL_TIMEOUT_S,
        )
        return answer.json()

    def wait_serving(self, groups: int) -> None:
        """Wait until each daemon is ready and the groups have formed."""
        for daemon in self._plan.daemons:
            wait_until(lambda: self._ready(daemon.http), f'{daemon.name} ready')
        wait_until(lambda: self._formed() >= groups, f'{groups} groups')

    def _ready(self, address: str) -> bool:
        try:
            answer = self._http.request(
                'GET',
                f'http://{address}/readyz',
                timeout=1,
            )
        except urllib3.exceptions.HTTPError:
            return False
        return answer.status == _OK

    def _formed(self) -> int:
        groups = set()
        for host in self._plan.hosts:
            with contextlib.suppress(urllib3.exceptions.HTTPError):
                health = self._http.request(
                    'GET',
                    f'http://{host.address}/health',
                    timeout=1,
                ).json()
                groups.add(health['group'])
        return len(groups - {''})

    def _start(self, name: str, arguments: list[str]) -> None:
        process = LocalProcess(
            f'cowslipstep_standins.{name}',
            arguments,
            self._folder / f'{name}.log',
        )
        self._started.append(process)


@contextlib.contextmanager
def local_fleet(shape: FleetShape) -> Iterator[LocalFleet]:
    """Run a fleet and end all its processes at the end.

    Raises
    ------
    FleetError
        If it does not serve in time.
    """
    with contextlib.ExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        started = stack.enter_context(ended_at_exit())
        fleet = LocalFleet(plan_fleet(shape), pathlib.Path(folder), started)
        fleet.start_standins()
        fleet.submit(fleet.plan.configuration())
        for daemon in fleet.plan.daemons:
            fleet.start_daemon(daemon.name)
        try:
            fleet.wait_serving(len(fleet.plan.hosts) // shape.hosts_per_group)
        except FleetError as error:
            raise FleetError(_with_logs(error, fleet.folder)) from error
        yield fleet


def _with_logs(error: FleetError, folder: pathlib.Path) -> str:
    tails = [
        f'{path.name}: {path.read_text()[-2000:]}'
        for path in sorted(folder.glob('*.log'))
    ]
    return '\n'.join([str(error), *tails])
