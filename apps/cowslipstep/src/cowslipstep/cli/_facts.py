"""Hosts, groups and drains, as read at one time."""

from __future__ import annotations

from attrs import frozen

from cowslipstep.cli._drains import Drain, read_drains
from cowslipstep.cli._fleet import read_groups
from cowslipstep.cli._hosts import HostView, view_host
from cowslipstep.cli._store import require_configuration
from cowslipstep.model import Group, Runner
from cowslipstep.platform import PlatformClient


@frozen
class FleetFacts:
    """What the platform says of hosts, groups and drains."""

    runners: dict[str, Runner]
    groups: tuple[Group, ...]
    drains: dict[str, Drain]

    def view(self, host: str) -> HostView:
        """Ask a host; one that is not configured does not answer."""
        runner = self.runners.get(host)
        return HostView(host) if runner is None else view_host(runner)

    def group_of(self, host: str) -> Group | None:
        """Return the group that a host belongs to."""
        for group in self.groups:
            if host in group.members:
                return group
        return None

    def drain_lines(self, *names: str) -> tuple[str, ...]:
        """Return a line for each drain of some hosts or groups."""
        drains = [self.drains[name] for name in names if name in self.drains]
        return tuple(map(str, drains))


def read_facts(platform: PlatformClient) -> FleetFacts:
    """Read hosts, groups and drains.

    Raises
    ------
    PlatformUnavailable
        If the platform does not answer.
    """
    configuration = require_configuration(platform)
    return FleetFacts(
        {runner.host: runner for runner in configuration.runners},
        read_groups(platform),
        {drain.target: drain for drain in read_drains(platform)},
    )
