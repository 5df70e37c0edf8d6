"""Readiness of the groups that this daemon probes."""

from __future__ import annotations

import time
from collections.abc import Iterator

from cowslipstep.daemon._controller import ControllerContext
from cowslipstep.groups import group_readiness
from cowslipstep.model import Group, GroupReadiness


def own_readiness(context: ControllerContext) -> Iterator[GroupReadiness]:
    """Yield the present readiness of each probed group.

    A draining group counts as not ready.
    """
    now = time.monotonic()
    for group in _own_groups(context):
        if context.drains.is_draining(group.name):
            yield GroupReadiness(group.name, 0)
        else:
            yield group_readiness(group, context.prober.records, now)


def _own_groups(context: ControllerContext) -> Iterator[Group]:
    for domain in context.scopes.owned:
        ledger = context.state.ledgers.get(domain)
        if ledger is not None:
            yield from ledger.groups
