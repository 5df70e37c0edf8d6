"""Events that report which groups were formed or dissolved, and why."""

from __future__ import annotations

from cowslipstep.daemon._state import DaemonState
from cowslipstep.groups import DomainLedger, DomainView, find_lost_member
from cowslipstep.model import Group


def record_group_changes(
    state: DaemonState,
    view: DomainView,
    new_ledger: DomainLedger,
) -> None:
    """Record an event for each group that a change of a ledger concerns."""
    old_groups = frozenset(view.ledger.groups)
    for dissolved in old_groups.difference(new_ledger.groups):
        _record_dissolved(state, view, dissolved)
    for group in new_ledger.groups:
        if group not in old_groups:
            members = ', '.join(group.members)
            cause = f'{group.model} lacked a group; members {members}'
            state.events.add('group_formed', group.name, cause)


def _record_dissolved(
    state: DaemonState,
    view: DomainView,
    group: Group,
) -> None:
    if group.name in view.drained_groups:
        state.events.add('drain_finished', group.name, 'its work has ended')
        state.events.add('group_dissolved', group.name, 'drained')
        return
    member = find_lost_member(group, view.records)
    state.events.add('member_lost', member, f'of group {group.name}')
    state.events.add('group_dissolved', group.name, f'lost {member}')
