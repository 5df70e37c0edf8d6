"""The index of groups equals the groups derived from all runners."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from cowslipstep.fleet import (
    DiscoveredRunner,
    GroupIndex,
    GroupPosition,
    MemberState,
    reported_groups,
)
from cowslipstep.model import Address

ADDRESS = Address('127.0.0.1', 1)
POSITIONS = st.none() | st.builds(
    GroupPosition,
    st.sampled_from('gh'),
    st.integers(1, 2),
    st.integers(0, 2),
    st.sampled_from(MemberState),
)
RUNNERS = st.builds(
    lambda name, service, position: DiscoveredRunner(
        name, service, ADDRESS, 'n', 1, group_position=position
    ),
    st.sampled_from('abcd'),
    st.sampled_from('st'),
    POSITIONS,
)


def changed_groups(before, after) -> set:
    return {
        key
        for key in before.keys() | after.keys()
        if before.get(key) != after.get(key)
    }


@given(st.lists(RUNNERS | st.sampled_from('abcd')))
def test_index_equals_the_groups_of_all_runners(steps) -> None:
    """Two runners may report the same rank: an entry may be forged."""
    index = GroupIndex()
    runners: dict[str, DiscoveredRunner] = {}
    for step in steps:
        before = reported_groups(runners.values())
        if isinstance(step, DiscoveredRunner):
            # A runner that reports anew comes last, as in the index.
            runners.pop(step.name, None)
            runners[step.name] = step
            affected = index.put(step)
        else:
            runners.pop(step, None)
            affected = index.remove(step)
        assert index.groups == reported_groups(runners.values())
        assert changed_groups(before, index.groups) <= affected


# Groups of two services with the same name and epoch were taken for one.
@given(st.lists(RUNNERS))
def test_no_group_has_members_of_two_services(runners) -> None:
    index = GroupIndex()
    for runner in runners:
        index.put(runner)
    for group_id, group in index.groups.items():
        members = group.members.values()
        assert {member.service for member in members} == {group_id.service}
