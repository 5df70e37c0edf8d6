"""Effects of a member's faults on its whole group."""

from __future__ import annotations

import eventlet

from cowslipstep_standins._engine_host import EngineHost

_FROZEN_POLL_PERIOD_S = 0.05

Hosts = dict[str, EngineHost]


def wait_while_frozen(host: EngineHost) -> None:
    """Block the current task while the host is frozen."""
    while host.faults.frozen:
        eventlet.sleep(_FROZEN_POLL_PERIOD_S)


def wait_while_group_frozen(host: EngineHost, hosts: Hosts) -> None:
    """Block the current task while any member of the group is frozen."""
    for member in (host, *_known_members(host, hosts)):
        wait_while_frozen(member)


def unreachable_members(host: EngineHost, hosts: Hosts) -> list[str]:
    """Return the members of the group that are dead or have left it."""
    return [
        member.name
        for member in _known_members(host, hosts)
        if member.faults.dead or member.group != host.group
    ]


def missing_members(host: EngineHost, hosts: Hosts) -> list[str]:
    """Return the members of the group that are dead, frozen or have left."""
    frozen = [
        member.name
        for member in _known_members(host, hosts)
        if member.faults.frozen
    ]
    return [*unreachable_members(host, hosts), *frozen]


def slow_factor(host: EngineHost, hosts: Hosts) -> float:
    """Return the slow factor of the slowest member, which slows them all."""
    members = (host, *_known_members(host, hosts))
    return max(member.faults.slow_factor for member in members)


def _known_members(host: EngineHost, hosts: Hosts) -> list[EngineHost]:
    return [hosts[member] for member in host.members if member in hosts]
