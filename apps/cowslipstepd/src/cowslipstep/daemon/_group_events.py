"""Events of groups that were formed or dissolved."""

from __future__ import annotations

from cowslipstep.daemon._state import DaemonState
from cowslipstep.groups import DomainLedger, DomainView, find_lost_member
from cowslipstep.model import Group


def note_changes(
    state: DaemonState,
    view: DomainView,
    after: DomainLedger,
) -> None:
    """Note what a change of a ledger did, and why."""
    before = frozenset(view.ledger.groups)
    for gone in before.difference(after.groups):
        _note_dissolved(state, view, gone)
    for group in after.groups:
        if group not in before:
            members = ', '.join(group.members)
            cause = f'{group.model} lacked a group; members {members}'
            state.events.add('group_formed', group.name, cause)


def _note_dissolved(
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
