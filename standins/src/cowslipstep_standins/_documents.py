"""Documents of a local fleet: daemon settings and fleet configuration."""

from __future__ import annotations

import hashlib
from typing import Any

from cowslipstep_standins._plan import (
    DaemonPlan,
    FleetPlan,
    HostPlan,
    workspace_key,
)

_NAME = 'name'
_PERCENT = 100
_PLATFORM_CALLS_PER_S = 600


def daemon_settings(plan: FleetPlan, daemon: DaemonPlan) -> dict[str, Any]:
    """Return the settings document of one daemon."""
    even_share_per_s = _PLATFORM_CALLS_PER_S // len(plan.daemons)
    settings = {
        _NAME: daemon.name,
        'failure_domain': daemon.failure_domain,
        'http_address': daemon.http,
        'peer_address': daemon.peer,
        'platform_address': daemon.platform or plan.platform,
        'unready_delay_s': 0.5,
        'status_period_s': 1,
        'platform_calls_per_s': plan.shape.platform_calls_per_s
        or even_share_per_s,
        'peers': [_peer(peer) for peer in plan.daemons if peer != daemon],
    }
    if daemon.listen:
        settings['peer_listen_address'] = daemon.listen
    return settings


def fleet_configuration(plan: FleetPlan) -> dict[str, Any]:
    """Return the configuration document of a fleet."""
    shape = plan.shape
    model = {
        _NAME: 'drafting',
        'hosts_per_group': shape.hosts_per_group,
        'groups': plan.groups,
        'slots_per_group': shape.slots,
    }
    return {
        'ranks': [
            _rank('urgent', target_s=1, worth=100, floor_percent=10),
            _rank('normal', target_s=5, worth=10, floor_percent=10),
            _rank('background', target_s=60, worth=1, floor_percent=10),
        ],
        'workspaces': [_workspace(name) for name in shape.workspaces],
        'models': [model],
        'runners': [_runner(plan, host) for host in plan.hosts],
        'services': _services(plan),
    }


def _rank(
    name: str,
    *,
    target_s: float,
    worth: float,
    floor_percent: float,
) -> dict[str, Any]:
    return {
        _NAME: name,
        'target_first_token_s': target_s,
        'worth': worth,
        'floor_share': floor_percent / _PERCENT,
    }


def _peer(peer: DaemonPlan) -> dict[str, Any]:
    return {
        _NAME: peer.name,
        'address': peer.peer,
        'failure_domain': peer.failure_domain,
    }


def _workspace(name: str) -> dict[str, Any]:
    digest = hashlib.sha256(workspace_key(name).encode()).hexdigest()
    return {_NAME: name, 'key_sha256': [digest]}


def _runner(plan: FleetPlan, host: HostPlan) -> dict[str, Any]:
    return {
        'host': host.name,
        'address': host.address,
        'failure_domain': host.failure_domain,
        'fabric_domain': host.failure_domain,
        'fencing': 'checked' if plan.shape.fencing else 'ignored',
    }


def _services(plan: FleetPlan) -> list[dict[str, Any]]:
    if not plan.services:
        return []
    service = {
        _NAME: 'order-book',
        'addresses': list(plan.services),
        'non_idempotent_paths': ['/orders'],
    }
    return [service]
