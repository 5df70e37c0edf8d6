"""How the members of a group affect each other."""

from __future__ import annotations

import eventlet

from cowslipstep_standins._engine_host import EngineHost

_FROZEN_POLL_S = 0.05

Hosts = dict[str, EngineHost]


def wait_while_frozen(host: EngineHost) -> None:
    """Hold the current task for as long as the host is frozen."""
    while host.faults.frozen:
        eventlet.sleep(_FROZEN_POLL_S)


def wait_while_group_frozen(host: EngineHost, hosts: Hosts) -> None:
    """Hold the current task while any member of the host's group is frozen."""
    for member in (host, *_known_members(host, hosts)):
        wait_while_frozen(member)


def gone_members(host: EngineHost, hosts: Hosts) -> list[str]:
    """Return members of a host's group that are dead or left the group."""
    return [
        member.name
        for member in _known_members(host, hosts)
        if member.faults.dead or member.group != host.group
    ]


def missing_members(host: EngineHost, hosts: Hosts) -> list[str]:
    """Return members of a host's group that are gone or frozen."""
    frozen = [
        member.name
        for member in _known_members(host, hosts)
        if member.faults.frozen
    ]
    return [*gone_members(host, hosts), *frozen]


def slow_factor(host: EngineHost, hosts: Hosts) -> float:
    """Return by how much the slowest member slows the group down."""
    members = (host, *_known_members(host, hosts))
    return max(member.faults.slow_factor for member in members)


def _known_members(host: EngineHost, hosts: Hosts) -> list[EngineHost]:
    return [hosts[member] for member in host.members if member in hosts]
