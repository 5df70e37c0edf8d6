"""Plan of a local fleet: who listens where, and its configuration."""

from __future__ import annotations

import hashlib
import itertools
from typing import Any

from attrs import field, frozen

from cowslipstep_standins._processes import free_ports

_PORTS_PER_DAEMON = 2
_IP = '127.0.0.1'


@frozen
class FleetShape:
    """Sizes of a local fleet.

    Parameters
    ----------
    daemons
        Number of daemons, spread over the failure domains.
    failure_domains
        Their names; each has one fabric domain of the same name.
    hosts_per_domain
        Engine hosts in each failure domain.
    hosts_per_group
        Hosts that one group spans.
    slots
        Requests that a group runs at once.
    token_s
        Seconds between tokens.
    load_s
        Seconds to load weights.
    services
        Number of plain-service runners.
    workspaces
        Names; the bearer key of each is ``key-<name>``.
    fencing
        Whether engines refuse old fencing numbers.
    http_port
        Port of the first daemon; zero for any.
    """

    daemons: int = 1
    failure_domains: tuple[str, ...] = ('port-louis',)
    hosts_per_domain: int = 2
    hosts_per_group: int = 2
    slots: int = 8
    token_s: float = 0.002
    load_s: float = 0
    services: int = 0
    workspaces: tuple[str, ...] = ('grid-a', 'grid-b')
    fencing: bool = True
    http_port: int = 0


@frozen
class DaemonPlan:
    """Name, failure domain and addresses of one daemon."""

    name: str
    failure_domain: str
    http: str
    peer: str


@frozen
class HostPlan:
    """Name, failure domain and address of one engine host."""

    name: str
    failure_domain: str
    address: str


@frozen
class FleetPlan:
    """Addresses of all processes of a local fleet."""

    shape: FleetShape
    platform: str
    daemons: tuple[DaemonPlan, ...]
    hosts: tuple[HostPlan, ...]
    services: tuple[str, ...] = field(default=())

    def daemon_settings(self, daemon: DaemonPlan) -> dict[str, Any]:
        """Settings document of one daemon."""
        return {
            'name': daemon.name,
            'failure_domain': daemon.failure_domain,
            'http_address': daemon.http,
            'peer_address': daemon.peer,
            'platform_address': self.platform,
            'unready_delay_s': 0.5,
            'peers': [
                {
                    'name': peer.name,
                    'address': peer.peer,
                    'failure_domain': peer.failure_domain,
                }
                for peer in self.daemons
                if peer != daemon
            ],
        }

    def configuration(self) -> dict[str, Any]:
        """Configuration document of the fleet."""
        shape = self.shape
        groups = len(self.hosts) // shape.hosts_per_group
        return {
            'ranks': [
                _rank('urgent', 1, 100, 0.2),
                _rank('normal', 5, 10, 0.3),
                _rank('background', 60, 1, 0.1),
            ],
            'workspaces': [_workspace(name) for name in shape.workspaces],
            'models': [
                {
                    'name': 'drafting',
                    'hosts_per_group': shape.hosts_per_group,
                    'groups': groups,
                    'slots_per_group': shape.slots,
                },
            ],
            'runners': [self._runner(host) for host in self.hosts],
            'services': self._services(),
        }

    def _runner(self, host: HostPlan) -> dict[str, Any]:
        return {
            'host': host.name,
            'address': host.address,
            'failure_domain': host.failure_domain,
            'fabric_domain': host.failure_domain,
            'fencing': 'checked' if self.shape.fencing else 'ignored',
        }

    def _services(self) -> list[dict[str, Any]]:
        if not self.services:
            return []
        service = {
            'name': 'order-book',
            'addresses': list(self.services),
            'non_idempotent_paths': ['/orders'],
        }
        return [service]


def plan_fleet(shape: FleetShape) -> FleetPlan:
    """Give an address on loopback to each process of a fleet."""
    domains = shape.failure_domains
    host_count = shape.hosts_per_domain * len(domains)
    total = 1 + _PORTS_PER_DAEMON * shape.daemons + host_count + shape.services
    addresses = (f'{_IP}:{port}' for port in free_ports(total))
    platform = next(addresses)
    daemons = tuple(
        DaemonPlan(
            f'd{index}',
            domains[index % len(domains)],
            _http_address(shape, index, next(addresses)),
            next(addresses),
        )
        for index in range(shape.daemons)
    )
    hosts = tuple(
        HostPlan(f'{domain}-h{index}', domain, next(addresses))
        for domain, index in itertools.product(
            domains,
            range(shape.hosts_per_domain),
        )
    )
    return FleetPlan(shape, platform, daemons, hosts, tuple(addresses))


def workspace_key(workspace: str) -> str:
    """Bearer key of a workspace in a local fleet."""
    return f'key-{workspace}'


def _http_address(shape: FleetShape, index: int, address: str) -> str:
    if index == 0 and shape.http_port:
        return f'{_IP}:{shape.http_port}'
    return address


def _rank(
    name: str,
    target_s: float,
    worth: float,
    floor: float,
) -> dict[str, Any]:
    return {
        'name': name,
        'target_first_token_s': target_s,
        'worth': worth,
        'floor_share': floor,
    }


def _workspace(name: str) -> dict[str, Any]:
    digest = hashlib.sha256(workspace_key(name).encode()).hexdigest()
    return {'name': name, 'key_sha256': [digest]}
