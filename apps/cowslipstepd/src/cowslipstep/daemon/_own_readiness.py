"""Readiness of the groups that this daemon probes."""

from __future__ import annotations

import time
from collections.abc import Iterator

from cowslipstep.daemon._keeper import KeeperTools
from cowslipstep.groups import domain_of_group, group_readiness, is_probed
from cowslipstep.model import Group, GroupReadiness


def own_readiness(tools: KeeperTools) -> Iterator[GroupReadiness]:
    """Yield the readiness, at this moment, of each group that is probed."""
    now = time.monotonic()
    for group in _own_groups(tools):
        if group.name in tools.draining.of(domain_of_group(group.name)):
            yield GroupReadiness(group.name, 0)
        elif is_probed(group, tools.prober.records, now):
            yield group_readiness(group, tools.prober.records, now)


def _own_groups(tools: KeeperTools) -> Iterator[Group]:
    hosts = tools.prober.hosts
    for domain in tools.scopes.near.keys() | tools.scopes.owned.keys():
        ledger = tools.state.ledgers.get(domain)
        if ledger is not None:
            for group in ledger.groups:
                if hosts.issuperset(group.members):
                    yield group
