"""Starts the processes of a local fleet, with their files in one folder."""

from __future__ import annotations

import contextlib
import pathlib
import tempfile
from collections.abc import Iterator

from cowslipstep_standins._plan import FleetPlan
from cowslipstep_standins._processes import LocalProcess, killed_at_exit

_LOG_TAIL_CHARS = 2000


class LoggedProcess(LocalProcess):
    """A process whose output is readable while it runs."""

    def __init__(
        self,
        module: str,
        arguments: list[str],
        log_path: pathlib.Path,
    ) -> None:
        super().__init__(module, arguments, log_path)
        self._log_path = log_path

    @property
    def log(self) -> str:
        """Everything that the process has printed."""
        return self._log_path.read_text()


class Launcher:
    """Starts processes whose settings and logs are in one folder.

    Parameters
    ----------
    folder
        Folder of the settings and logs.
    started
        Receives each started process; the owner of the list ends them.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        started: list[LocalProcess],
    ) -> None:
        self._folder = folder
        self._started = started

    def write(self, name: str, text: str) -> pathlib.Path:
        """Write a file to the folder and return its path."""
        path = self._folder / name
        path.write_text(text)
        return path

    def start(
        self, module: str, arguments: list[str], name: str
    ) -> LoggedProcess:
        """Start a Python module; its output goes to ``<name>.log``."""
        log_path = self._folder / f'{name}.log'
        process = LoggedProcess(module, arguments, log_path)
        self._started.append(process)
        return process

    def log_tails(self) -> str:
        """Return the last 2000 characters of each log."""
        return '\n'.join(
            path.read_text()[-_LOG_TAIL_CHARS:]
            for path in sorted(self._folder.glob('*.log'))
        )


@contextlib.contextmanager
def launcher() -> Iterator[Launcher]:
    """Yield a launcher; on exit end its processes and remove its folder."""
    with (
        tempfile.TemporaryDirectory() as folder,
        killed_at_exit() as started,
    ):
        yield Launcher(pathlib.Path(folder), started)


def start_standins(processes: Launcher, plan: FleetPlan) -> None:
    """Start the platform, engine, relay and services of a plan."""
    package = 'cowslipstep_standins'
    processes.start(
        f'{package}.platform',
        ['--address', plan.platform],
        'platform',
    )
    if plan.hosts:
        processes.start(f'{package}.engine', _engine_arguments(plan), 'engine')
    if plan.relay:
        processes.start(f'{package}.relay', _relay_arguments(plan), 'relay')
    for address in plan.services:
        processes.start(f'{package}.service', ['--address', address], 'service')


def _relay_arguments(plan: FleetPlan) -> list[str]:
    routes = [f'--control={plan.relay}']
    for daemon in plan.daemons:
        routes.append(f':{daemon.name}={daemon.peer}={daemon.listen}')
        platform = f'{daemon.platform}={plan.platform}'
        routes.append(f'{daemon.name}:platform={platform}')
    return routes


def _engine_arguments(plan: FleetPlan) -> list[str]:
    shape = plan.shape
    return [
        f'--slots={shape.slots}',
        f'--token-s={shape.token_s}',
        f'--load-s={shape.load_s}',
        '--fencing' if shape.fencing else '--no-fencing',
        *[f'{host.name}={host.address}' for host in plan.hosts],
    ]
