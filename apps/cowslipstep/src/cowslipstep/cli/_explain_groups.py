"""Why a group or host serves or does not."""

from __future__ import annotations

from cowslipstep.cli._explanations import Explanation
from cowslipstep.cli._facts import FleetFacts, read_facts
from cowslipstep.cli._hosts import HostView
from cowslipstep.model import Group
from cowslipstep.platform import PlatformClient


def explain_group(platform: PlatformClient, name: str) -> Explanation:
    """Say whether a group serves.

    Raises
    ------
    PlatformUnavailable
        If the platform does not answer.
    """
    facts = read_facts(platform)
    for group in facts.groups:
        if group.name == name:
            return _explain_formed(group, facts)
    known = ', '.join(formed.name for formed in facts.groups) or 'none'
    summary = (
        f'no group is named {name!r}; a re-formed group has a new name; '
        f'groups now: {known}'
    )
    return Explanation(name, well=False, summary=summary)


def explain_host(platform: PlatformClient, name: str) -> Explanation:
    """Say what a host does.

    Raises
    ------
    PlatformUnavailable
        If the platform does not answer.
    """
    facts = read_facts(platform)
    if name not in facts.runners:
        summary = f'no host named {name!r} is configured'
        return Explanation(name, well=False, summary=summary)
    group = facts.group_of(name)
    if group is None:
        return _explain_free(facts.view(name), facts)
    return _explain_member(facts.view(name), group, facts)


def _explain_member(
    view: HostView,
    group: Group,
    facts: FleetFacts,
) -> Explanation:
    explained = _explain_formed(group, facts)
    problem = view.problem(group.name)
    return Explanation(
        view.host,
        well=not problem,
        summary=problem or f'{view.host} serves in group {group.name}',
        details=(explained.summary, *explained.details),
    )


def _explain_free(view: HostView, facts: FleetFacts) -> Explanation:
    word = view.state or 'does not answer'
    return Explanation(
        view.host,
        well=False,
        summary=f'{view.host} belongs to no group ({word})',
        details=facts.drain_lines(view.host),
    )


def _explain_formed(group: Group, facts: FleetFacts) -> Explanation:
    found = [facts.view(member).problem(group.name) for member in group.members]
    problems = '; '.join(filter(None, found))
    summary = f'group {group.name} serves model {group.model}'
    if problems:
        summary = f'group {group.name} does not serve: {problems}'
    members = ', '.join(group.members)
    return Explanation(
        group.name,
        well=not problems,
        summary=summary,
        details=(
            f'members {members} in {group.failure_domain}; the first leads',
            *facts.drain_lines(group.name, *group.members),
        ),
    )
