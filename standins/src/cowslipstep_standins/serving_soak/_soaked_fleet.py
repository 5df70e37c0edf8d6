"""Daemons as processes, and the store and runners before which they serve."""

from __future__ import annotations

import contextlib
import pathlib
import random
import tempfile
from collections.abc import Iterator

import eventlet
from attrs import define, field

from cowslipstep.platform import ObjectKey
from cowslipstep_standins._http_server import listen, serve
from cowslipstep_standins._processes import (
    free_ports,
    killed_at_exit,
)
from cowslipstep_standins.serving_soak._plain_settings import LOOPBACK
from cowslipstep_standins.serving_soak._runner_api import RunnerApi
from cowslipstep_standins.serving_soak._soaked_daemon import (
    SoakedDaemon,
    new_daemon,
)
from cowslipstep_standins.serving_soak._store_api import RealTime, StoreApi
from cowslipstep_standins.takeovers._aging_store import AgingStore
from cowslipstep_standins.takeovers._group_commands import GroupCommands
from cowslipstep_standins.takeovers._grouped_runners import GroupedRunners

DAEMONS = 3
RUNNERS = 8
_MAX_RUNNERS = 40


@define
class SoakedFleet:
    """Daemons, runners and a store."""

    api: StoreApi
    commands: GroupCommands
    runners: GroupedRunners
    ports: list[int]
    daemons: list[SoakedDaemon] = field(factory=list)

    @property
    def controller(self) -> SoakedDaemon:
        """The daemon that last wrote the lease; the first one before."""
        written_by = [
            daemon
            for daemon in self.daemons
            if daemon.name == self.api.controller
        ]
        return (written_by or self.daemons)[0]

    def start_daemons(self) -> None:
        """Start the daemons whose process has ended."""
        for daemon in self.daemons:
            daemon.start()

    def start_runner(self) -> None:
        """Start a runner, if there is a port for it."""
        if len(self.ports) < 2:
            return
        runner = self.runners.start_one(self.ports.pop())
        application = RunnerApi(runner, self.commands)
        listener = listen(f'{LOOPBACK}:{runner.number}')
        eventlet.spawn(serve, listener, application)


@contextlib.contextmanager
def soaked_fleet(seed: int) -> Iterator[SoakedFleet]:
    """Start a fleet; end its daemons on exit."""
    fleet = _new_fleet(seed)
    with (
        tempfile.TemporaryDirectory() as folder,
        killed_at_exit() as started,
    ):
        for number in range(DAEMONS):
            path = pathlib.Path(folder) / f'd{number}.json'
            fleet.daemons.append(new_daemon(path, fleet.ports, started))
        fleet.start_daemons()
        for _ in range(RUNNERS):
            fleet.start_runner()
        yield fleet


def _new_fleet(seed: int) -> SoakedFleet:
    """Return runners and a store, which listens on the first port."""
    store = AgingStore(RealTime(), random.Random(seed))
    store.put(ObjectKey('configuration', 'main'), '1')
    runners = GroupedRunners(store, random.Random(seed))
    ports = free_ports(_MAX_RUNNERS + 3 * DAEMONS + 1)
    fleet = SoakedFleet(StoreApi(store), GroupCommands(runners), runners, ports)
    eventlet.spawn(serve, listen(f'{LOOPBACK}:{ports[0]}'), fleet.api)
    return fleet
