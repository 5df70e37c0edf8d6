"""State of the whole fleet for the command ``status``."""

from __future__ import annotations

from collections.abc import Iterator

from attrs import frozen

from cowslipstep.cli._daemons import DaemonState, query_daemons
from cowslipstep.cli._drains import Drain, read_drains
from cowslipstep.cli._platform_objects import read_groups, read_live_daemons
from cowslipstep.cli._stored_configuration import (
    StoredConfiguration,
    read_stored_configuration,
)
from cowslipstep.model import Model
from cowslipstep.platform import PlatformClient


@frozen
class ModelStatus:
    """Numbers of groups of a model that are configured and that are formed."""

    name: str
    wanted: int
    formed: int


@frozen
class FleetStatus:
    """State of daemons, models and drains.

    Parameters
    ----------
    version
        Version of the configuration in force; zero if there is none.
    daemons
        Live daemons and their readiness.
    models
        Configured models and their groups.
    drains
        All drains.
    """

    version: int
    daemons: tuple[DaemonState, ...]
    models: tuple[ModelStatus, ...]
    drains: tuple[Drain, ...]

    def problems(self) -> Iterator[str]:
        """Yield a line for each problem."""
        if not self.version:
            yield 'no configuration was submitted yet'
        if not self.daemons:
            yield 'no live daemon has written a status'
        for daemon in self.daemons:
            yield from _daemon_problems(daemon, self.version)
        for model in self.models:
            if model.formed < model.wanted:
                yield (
                    f'model {model.name}: {model.formed} of '
                    f'{model.wanted} groups'
                )


def read_fleet_status(platform: PlatformClient) -> FleetStatus:
    """Read the platform's objects and query all live daemons.

    Raises
    ------
    PlatformUnavailable
        If the platform does not answer.
    """
    stored = read_stored_configuration(platform)
    return FleetStatus(
        stored.version,
        query_daemons(read_live_daemons(platform)),
        tuple(_model_statuses(platform, stored)),
        read_drains(platform),
    )


def _model_statuses(
    platform: PlatformClient,
    stored: StoredConfiguration,
) -> Iterator[ModelStatus]:
    groups = read_groups(platform)
    models: tuple[Model, ...] = ()
    if stored.configuration is not None:
        models = stored.configuration.models
    for model in models:
        formed = sum(group.model == model.name for group in groups)
        yield ModelStatus(model.name, model.groups, formed)


def _daemon_problems(daemon: DaemonState, version: int) -> Iterator[str]:
    if not daemon.reachable:
        yield f'daemon {daemon.name} does not answer at {daemon.address}'
    elif not daemon.ready:
        yield f'daemon {daemon.name} is not ready'
    elif daemon.version < version:
        yield f'daemon {daemon.name} has version {daemon.version}'
