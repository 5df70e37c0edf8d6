"""Groups: recovery, stranded accelerators and what a keeper costs."""

from __future__ import annotations

from collections.abc import Iterator

from _domain_figures import FleetSize
from _domain_plans import first_fit, repack
from _domain_runs import run_fleet
from _figures import Figure
from _group_faults import keeper_gap_s, recovery_s
from _keeper_cost import (
    calls_per_keeper_s,
    core_share,
    ledger_codec_s,
    plan_s,
)

_SEED = 11
_TRIALS = 3
_RECOVERY_TARGET_S = 5
_GROUP_ACCELERATORS = 8
_TODAY = FleetSize(hosts=60, domains=3)
_FUTURE_HOSTS = 2700
_FUTURE_DOMAINS = 23
_FUTURE = FleetSize(_FUTURE_HOSTS, _FUTURE_DOMAINS)
_KEPT_HOSTS = (4, 20, 36, 117)
_SHARING_DAEMONS = 9
_MS_PER_S = 1000


def figures() -> Iterator[Figure]:
    """Yield the figures of groups."""
    for fault in ('dead', 'frozen'):
        slowest_s = max(recovery_s(fault) for _ in range(_TRIALS))
        name = f'groups.recovery_{fault}'
        yield Figure(name, slowest_s, 's', bound=_RECOVERY_TARGET_S)
    yield Figure('groups.keeper_killed_gap', keeper_gap_s(), 's')
    for size in (_TODAY, _FUTURE):
        yield from _stranded(size)
    yield from _costs()


def _stranded(size: FleetSize) -> Iterator[Figure]:
    ours = run_fleet(size, repack, _SEED)
    plain = run_fleet(size, first_fit, _SEED)
    name = f'groups.{size.hosts}_hosts'
    yield Figure(
        f'{name}.stranded_worst_domain',
        max(ours.stranded),
        'accelerators',
        bound=_GROUP_ACCELERATORS,
        baseline=max(plain.stranded),
    )
    yield Figure(
        f'{name}.stranded_mean_domain',
        ours.mean,
        'accelerators',
        baseline=plain.mean,
    )
    yield Figure(
        f'{name}.ledger_writes',
        ours.ledger_writes,
        'writes',
        baseline=ours.claim_writes,
    )


def _costs() -> Iterator[Figure]:
    yield Figure('groups.keeper_calls', calls_per_keeper_s(), 'calls/s')
    yield from _core_shares()
    for size in (_TODAY, _FUTURE):
        yield from _domain_costs(size.hosts // size.domains)


def _core_shares() -> Iterator[Figure]:
    shares = {hosts: core_share(hosts) for hosts in _KEPT_HOSTS}
    for hosts in _KEPT_HOSTS:
        name = f'groups.keeper_core_share_{hosts}_hosts'
        yield Figure(name, shares[hosts], 'cores')
    shared = core_share(max(_KEPT_HOSTS), _SHARING_DAEMONS)
    yield Figure('groups.keeper_core_share_9_daemons', shared, 'cores')
    slope = _slope(shares)
    yield Figure('groups.core_share_for_each_host', slope, 'cores')


def _slope(shares: dict[int, float]) -> float:
    few, many = min(shares), max(shares)
    return (shares[many] - shares[few]) / (many - few)


def _domain_costs(hosts: int) -> Iterator[Figure]:
    name = f'groups.domain_of_{hosts}_hosts'
    yield Figure(f'{name}.plan', plan_s(hosts) * _MS_PER_S, 'ms')
    codec_ms = ledger_codec_s(hosts) * _MS_PER_S
    yield Figure(f'{name}.ledger_codec', codec_ms, 'ms')
