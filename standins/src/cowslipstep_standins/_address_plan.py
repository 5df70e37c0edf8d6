"""Assigns addresses on loopback to the processes of a local fleet."""

from __future__ import annotations

import itertools
from collections.abc import Iterator

from attrs import evolve

from cowslipstep_standins._plan import (
    DaemonPlan,
    FleetPlan,
    FleetShape,
    HostPlan,
)
from cowslipstep_standins._processes import free_ports

_PORTS_PER_DAEMON = 2
_RELAYS_PER_DAEMON = 2
_IP = '127.0.0.1'


def plan_fleet(shape: FleetShape) -> FleetPlan:
    """Plan a fleet, with a free loopback address for each process."""
    addresses = (f'{_IP}:{port}' for port in free_ports(_port_count(shape)))
    platform = next(addresses)
    daemons = tuple(_plan_daemons(shape, addresses))
    hosts = tuple(_plan_hosts(shape, addresses))
    relay = next(addresses) if shape.relayed else ''
    return FleetPlan(shape, platform, daemons, hosts, tuple(addresses), relay)


def _port_count(shape: FleetShape) -> int:
    hosts = shape.hosts_per_domain * len(shape.failure_domains)
    relays = 0
    if shape.relayed:
        relays = 1 + _RELAYS_PER_DAEMON * shape.daemons
    daemons = _PORTS_PER_DAEMON * shape.daemons
    return 1 + daemons + hosts + shape.services + relays


def _plan_daemons(
    shape: FleetShape,
    addresses: Iterator[str],
) -> Iterator[DaemonPlan]:
    for index in range(shape.daemons):
        domain = shape.failure_domains[index % len(shape.failure_domains)]
        http = next(addresses)
        if index == 0 and shape.http_port:
            http = f'{_IP}:{shape.http_port}'
        planned = DaemonPlan(f'd{index}', domain, http, next(addresses))
        if shape.relayed:
            planned = evolve(
                planned,
                listen=next(addresses),
                platform=next(addresses),
            )
        yield planned


def _plan_hosts(
    shape: FleetShape,
    addresses: Iterator[str],
) -> Iterator[HostPlan]:
    for domain, index in itertools.product(
        shape.failure_domains,
        range(shape.hosts_per_domain),
    ):
        yield HostPlan(f'{domain}-h{index}', domain, next(addresses))
