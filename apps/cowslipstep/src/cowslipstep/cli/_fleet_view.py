"""The fleet as a whole, as seen from here."""

from __future__ import annotations

from collections.abc import Iterator

from attrs import frozen

from cowslipstep.cli._daemons import DaemonView, view_daemons
from cowslipstep.cli._drains import Drain, read_drains
from cowslipstep.cli._fleet import read_groups, read_live
from cowslipstep.cli._store import StoredText, read_stored
from cowslipstep.model import Model
from cowslipstep.platform import PlatformClient


@frozen
class ModelView:
    """Groups of a model: how many are wanted and how many are formed."""

    name: str
    wanted: int
    formed: int


@frozen
class FleetView:
    """The fleet as seen from here."""

    version: int
    daemons: tuple[DaemonView, ...]
    models: tuple[ModelView, ...]
    drains: tuple[Drain, ...]

    def problems(self) -> Iterator[str]:
        """Yield what is not well, one line each."""
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


def view_fleet(platform: PlatformClient) -> FleetView:
    """Read the state of the fleet.

    Raises
    ------
    PlatformUnavailable
        If the platform does not answer.
    """
    stored = read_stored(platform)
    return FleetView(
        stored.version,
        view_daemons(read_live(platform)),
        tuple(_view_models(platform, stored)),
        read_drains(platform),
    )


def _view_models(
    platform: PlatformClient,
    stored: StoredText,
) -> Iterator[ModelView]:
    groups = read_groups(platform)
    models: tuple[Model, ...] = ()
    if stored.configuration is not None:
        models = stored.configuration.models
    for model in models:
        formed = sum(group.model == model.name for group in groups)
        yield ModelView(model.name, model.groups, formed)


def _daemon_problems(daemon: DaemonView, version: int) -> Iterator[str]:
    if not daemon.reachable:
        yield f'daemon {daemon.name} does not answer at {daemon.address}'
    elif not daemon.ready:
        yield f'daemon {daemon.name} is not ready'
    elif daemon.version < version:
        yield f'daemon {daemon.name} has version {daemon.version}'
