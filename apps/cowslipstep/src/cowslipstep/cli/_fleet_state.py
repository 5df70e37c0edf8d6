"""Hosts, groups and drains as read from the platform."""

from __future__ import annotations

from attrs import frozen

from cowslipstep.cli._drains import Drain, read_drains
from cowslipstep.cli._hosts import HostState, query_host
from cowslipstep.cli._platform_objects import read_groups
from cowslipstep.cli._stored_configuration import require_configuration
from cowslipstep.model import Group, Runner
from cowslipstep.platform import PlatformClient


@frozen
class FleetState:
    """Configured runners by host, groups, and drains by target."""

    runners: dict[str, Runner]
    groups: tuple[Group, ...]
    drains: dict[str, Drain]

    def query(self, host: str) -> HostState:
        """Query the state of a host.

        A host that is not configured counts as one that does not answer.
        """
        runner = self.runners.get(host)
        return HostState(host) if runner is None else query_host(runner)

    def group_of(self, host: str) -> Group | None:
        """Return the group that a host belongs to."""
        for group in self.groups:
            if host in group.members:
                return group
        return None

    def drain_lines(self, *names: str) -> tuple[str, ...]:
        """Return a line for each drain of the named hosts and groups."""
        drains = [self.drains[name] for name in names if name in self.drains]
        return tuple(map(str, drains))


def read_fleet_state(platform: PlatformClient) -> FleetState:
    """Read hosts, groups and drains from the platform.

    Raises
    ------
    PlatformUnavailable
        If the platform does not answer.
    """
    configuration = require_configuration(platform)
    return FleetState(
        {runner.host: runner for runner in configuration.runners},
        read_groups(platform),
        {drain.target: drain for drain in read_drains(platform)},
    )
