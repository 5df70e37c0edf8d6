"""Groups: recovery, stranded accelerators and the cost of a controller."""

from __future__ import annotations

from collections.abc import Iterator

from _planning_figures import FleetSize
from _domain_plans import plan_without_repacking, plan_with_repacking
from _domain_simulation import simulate_fleet
from _figures import Figure
from _group_faults import controller_failover_gap_s, recovery_s
from _controller_cost import (
    calls_per_controller_s,
    core_share,
    ledger_codec_s,
    plan_s,
)

_SEED = 11
_TRIALS_PER_FAULT = 3
_RECOVERY_TARGET_S = 5
_ACCELERATORS_PER_GROUP = 8
_CURRENT_FLEET = FleetSize(hosts=60, domains=3)
_PLANNED_HOSTS = 2700
_PLANNED_DOMAINS = 23
_PLANNED_FLEET = FleetSize(_PLANNED_HOSTS, _PLANNED_DOMAINS)
_CONTROLLED_HOSTS = (4, 20, 36, 117)
_MS_PER_S = 1000


def figures() -> Iterator[Figure]:
    """Yield the figures of groups."""
    for fault in ('dead', 'frozen'):
        slowest_s = max(recovery_s(fault) for _ in range(_TRIALS_PER_FAULT))
        name = f'groups.recovery_{fault}'
        yield Figure(name, slowest_s, 's', bound=_RECOVERY_TARGET_S)
    yield Figure('groups.keeper_killed_gap', controller_failover_gap_s(), 's')
    for size in (_CURRENT_FLEET, _PLANNED_FLEET):
        yield from _stranded(size)
    yield from _costs()


def _stranded(size: FleetSize) -> Iterator[Figure]:
    with_repacking = simulate_fleet(size, plan_with_repacking, _SEED)
    without_repacking = simulate_fleet(size, plan_without_repacking, _SEED)
    name = f'groups.{size.hosts}_hosts'
    yield Figure(
        f'{name}.stranded_worst_domain',
        max(with_repacking.stranded),
        'accelerators',
        bound=_ACCELERATORS_PER_GROUP,
        baseline=max(without_repacking.stranded),
    )
    yield Figure(
        f'{name}.stranded_mean_domain',
        with_repacking.mean_stranded,
        'accelerators',
        baseline=without_repacking.mean_stranded,
    )
    yield Figure(
        f'{name}.ledger_writes',
        with_repacking.ledger_writes,
        'writes',
        baseline=with_repacking.claim_writes,
    )


def _costs() -> Iterator[Figure]:
    yield Figure('groups.keeper_calls', calls_per_controller_s(), 'calls/s')
    yield from _core_shares()
    for size in (_CURRENT_FLEET, _PLANNED_FLEET):
        yield from _domain_costs(size.hosts // size.domains)


def _core_shares() -> Iterator[Figure]:
    shares = {hosts: core_share(hosts) for hosts in _CONTROLLED_HOSTS}
    for hosts in _CONTROLLED_HOSTS:
        name = f'groups.keeper_core_share_{hosts}_hosts'
        yield Figure(name, shares[hosts], 'cores')
    slope = _share_per_host(shares)
    yield Figure('groups.core_share_for_each_host', slope, 'cores')


def _share_per_host(shares: dict[int, float]) -> float:
    few, many = min(shares), max(shares)
    return (shares[many] - shares[few]) / (many - few)


def _domain_costs(hosts: int) -> Iterator[Figure]:
    name = f'groups.domain_of_{hosts}_hosts'
    yield Figure(f'{name}.plan', plan_s(hosts) * _MS_PER_S, 'ms')
    codec_ms = ledger_codec_s(hosts) * _MS_PER_S
    yield Figure(f'{name}.ledger_codec', codec_ms, 'ms')
