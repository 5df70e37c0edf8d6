"""Explanations of why a group or host serves or does not serve."""

from __future__ import annotations

from cowslipstep.cli._explanations import Explanation
from cowslipstep.cli._fleet_state import FleetState, read_fleet_state
from cowslipstep.cli._hosts import HostState
from cowslipstep.model import Group
from cowslipstep.platform import PlatformClient


def explain_group(platform: PlatformClient, name: str) -> Explanation:
    """Explain whether a group serves.

    Raises
    ------
    PlatformUnavailable
        If the platform does not answer.
    """
    fleet = read_fleet_state(platform)
    for group in fleet.groups:
        if group.name == name:
            return _explain_existing(group, fleet)
    known = ', '.join(formed.name for formed in fleet.groups) or 'none'
    summary = (
        f'no group is named {name!r}; a group that is formed again gets a '
        f'new name; groups now: {known}'
    )
    return Explanation(name, well=False, summary=summary)


def explain_host(platform: PlatformClient, name: str) -> Explanation:
    """Explain whether a host serves, and in which group.

    Raises
    ------
    PlatformUnavailable
        If the platform does not answer.
    """
    fleet = read_fleet_state(platform)
    if name not in fleet.runners:
        summary = f'no host named {name!r} is configured'
        return Explanation(name, well=False, summary=summary)
    group = fleet.group_of(name)
    if group is None:
        return _explain_ungrouped(fleet.query(name), fleet)
    return _explain_member(fleet.query(name), group, fleet)


def _explain_member(
    state: HostState,
    group: Group,
    fleet: FleetState,
) -> Explanation:
    explained = _explain_existing(group, fleet)
    problem = state.problem(group.name)
    return Explanation(
        state.host,
        well=not problem,
        summary=problem or f'{state.host} serves in group {group.name}',
        details=(explained.summary, *explained.details),
    )


def _explain_ungrouped(state: HostState, fleet: FleetState) -> Explanation:
    reported = state.state or 'does not answer'
    return Explanation(
        state.host,
        well=False,
        summary=f'{state.host} belongs to no group ({reported})',
        details=fleet.drain_lines(state.host),
    )


def _explain_existing(group: Group, fleet: FleetState) -> Explanation:
    member_problems = [
        fleet.query(member).problem(group.name) for member in group.members
    ]
    problems = '; '.join(filter(None, member_problems))
    summary = f'group {group.name} serves model {group.model}'
    if problems:
        summary = f'group {group.name} does not serve: {problems}'
    members = ', '.join(group.members)
    return Explanation(
        group.name,
        well=not problems,
        summary=summary,
        details=(
            f'members {members} in {group.failure_domain}; the first is leader',
            *fleet.drain_lines(group.name, *group.members),
        ),
    )
