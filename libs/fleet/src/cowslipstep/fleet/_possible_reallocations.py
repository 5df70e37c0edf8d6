"""Reallocations that the groups and free runners of a domain allow."""

from __future__ import annotations

import itertools
import math
from collections import defaultdict
from collections.abc import Collection, Iterator, Mapping

from attrs import frozen

from cowslipstep.fleet._decisions import FleetView
from cowslipstep.fleet._engines import ModelProfile
from cowslipstep.fleet._free_runners import free_by_domain, must_load
from cowslipstep.fleet._reported_groups import GroupKey, ReportedGroup
from cowslipstep.fleet._runners import DiscoveredRunner, MemberState

# Requests that run when a group closes end within this time, seconds.
_CLOSING_S = 6

ReportedGroups = Mapping[GroupKey, ReportedGroup]


@frozen
class Reallocation:
    """Groups that end, and the group that is formed in their place.

    Parameters
    ----------
    model
        Model of the new group.
    members
        Its members, from the groups that end and from free runners.
    ending
        Leaders of the groups that end.
    gained
        Groups of the model for which there are runners then.
    until_s
        Clock reading at which the reallocation has failed.
    formed
        Whether the new group was ordered.
    """

    model: ModelProfile
    members: tuple[DiscoveredRunner, ...]
    ending: Mapping[GroupKey, DiscoveredRunner]
    gained: int
    until_s: float
    formed: bool = False

    @property
    def names(self) -> frozenset[str]:
        """Names of the members of the new group."""
        return frozenset(member.name for member in self.members)

    @property
    def needed(self) -> frozenset[str]:
        """Names of the runners without which it cannot be carried out."""
        leaders = frozenset(leader.name for leader in self.ending.values())
        return self.names | leaders


class PossibleReallocations:
    """Finds reallocations between two models, one for each fabric domain.

    Parameters
    ----------
    view
        The fleet.
    found
        Groups as their members report them.
    claimed
        Names of runners that are not free.
    """

    def __init__(
        self,
        view: FleetView,
        found: ReportedGroups,
        claimed: Collection[str],
    ) -> None:
        self._view = view
        self._found = found
        self._claimed = claimed

    def between(
        self,
        wanting: ModelProfile,
        giving: ModelProfile,
    ) -> Iterator[Reallocation]:
        """Yield a reallocation for each domain where one is possible."""
        idle = free_by_domain(self._view, self._claimed)
        for domain, groups in self._given(wanting, giving).items():
            free = [one for one in idle[domain] if not must_load(one, wanting)]
            number = math.ceil(
                (wanting.group_size - len(free)) / giving.group_size,
            )
            if 0 < number <= len(groups):
                yield self._reallocation(wanting, free, groups[:number])

    def _given(
        self,
        wanting: ModelProfile,
        giving: ModelProfile,
    ) -> dict[str, list[ReportedGroup]]:
        """Return the groups that may end, by fabric domain."""
        given: dict[str, list[ReportedGroup]] = defaultdict(list)
        for reported_group in self._found.values():
            if _may_end(reported_group, wanting, giving):
                given[reported_group.members[0].fabric_domain].append(
                    reported_group
                )
        return given

    def _reallocation(
        self,
        wanting: ModelProfile,
        free: list[DiscoveredRunner],
        groups: list[ReportedGroup],
    ) -> Reallocation:
        members = (*free, *itertools.chain.from_iterable(map(_ranked, groups)))
        return Reallocation(
            wanting,
            members[: wanting.group_size],
            {group.key: group.members[0] for group in groups},
            len(members) // wanting.group_size,
            self._view.now_s + _CLOSING_S,
        )


def _may_end(
    reported_group: ReportedGroup,
    wanting: ModelProfile,
    giving: ModelProfile,
) -> bool:
    """Whether a group serves, and could serve another model soon."""
    if reported_group.model != giving.name or reported_group.draining:
        return False
    if reported_group.leader_state is not MemberState.open:
        return False
    members = reported_group.members.values()
    domains = {runner.fabric_domain for runner in members}
    whole = reported_group.is_whole(giving.group_size) and len(domains) == 1
    return whole and not any(must_load(runner, wanting) for runner in members)


def _ranked(group: ReportedGroup) -> list[DiscoveredRunner]:
    return [group.members[rank] for rank in sorted(group.members)]
