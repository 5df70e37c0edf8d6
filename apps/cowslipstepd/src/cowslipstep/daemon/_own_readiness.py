"""Readiness of the groups that this daemon probes."""

from __future__ import annotations

import time
from collections.abc import Iterator

from cowslipstep.daemon._controller import ControllerContext
from cowslipstep.groups import group_readiness
from cowslipstep.model import Group, GroupReadiness


def own_readiness(tools: ControllerContext) -> Iterator[GroupReadiness]:
    """Yield the readiness, at this moment, of each group that is probed."""
    now = time.monotonic()
    for group in _own_groups(tools):
        if tools.drains.is_draining(group.name):
            yield GroupReadiness(group.name, 0)
        else:
            yield group_readiness(group, tools.prober.records, now)


def _own_groups(tools: ControllerContext) -> Iterator[Group]:
    for domain in tools.scopes.owned:
        ledger = tools.state.ledgers.get(domain)
        if ledger is not None:
            yield from ledger.groups
