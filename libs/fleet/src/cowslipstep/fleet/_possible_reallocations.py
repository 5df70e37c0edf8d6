"""Reallocations that are possible within each fabric domain."""

from __future__ import annotations

import itertools
import math
from collections import defaultdict
from collections.abc import Collection, Iterator, Mapping

from attrs import frozen

from cowslipstep.fleet._decisions import FleetView
from cowslipstep.fleet._engines import ModelProfile
from cowslipstep.fleet._free_runners import free_by_domain, must_load
from cowslipstep.fleet._reported_groups import ReportedGroup
from cowslipstep.fleet._runners import (
    DiscoveredRunner,
    GroupId,
    MemberState,
)

# A reallocation fails if the groups that end have not closed within this time;
# the requests that run when they close are expected to end in it.
_CLOSE_TIMEOUT_S = 6

ReportedGroups = Mapping[GroupId, ReportedGroup]


@frozen
class Reallocation:
    """Groups that end, and the group that is formed in their place.

    Parameters
    ----------
    model
        Model of the new group.
    members
        Members of the new group: free runners and those of the ending groups.
    ending_leaders
        Leader of each group that ends.
    groups_gained
        Number of groups of the model that the released runners can form.
    forgone_groups
        Number of groups of the donor that the free runners could form, apart
        from those that have the recipient loaded: each of these would need a
        load from the weight store before it could return to the recipient.
    left_over_groups
        Number of groups of the donor that the remaining runners can form.
    fails_at_s
        Clock reading from which the reallocation counts as failed, seconds.
    formed
        Whether the decision to form the new group was made.
    """

    model: ModelProfile
    members: tuple[DiscoveredRunner, ...]
    ending_leaders: Mapping[GroupId, DiscoveredRunner]
    groups_gained: int
    forgone_groups: int
    left_over_groups: int
    fails_at_s: float
    formed: bool = False

    @property
    def ends_several(self) -> bool:
        """Whether more than one group ends."""
        return len(self.ending_leaders) > 1

    @property
    def fabric_domain(self) -> str:
        """Fabric domain of its members."""
        return self.members[0].fabric_domain

    @property
    def member_names(self) -> frozenset[str]:
        """Names of the members of the new group."""
        return frozenset(member.name for member in self.members)

    @property
    def required_names(self) -> frozenset[str]:
        """Names of the runners whose loss makes the reallocation fail."""
        leaders = frozenset(
            leader.name for leader in self.ending_leaders.values()
        )
        return self.member_names | leaders


class PossibleReallocations:
    """Finds reallocations between two models, one for each fabric domain.

    Parameters
    ----------
    view
        State of the fleet.
    reported
        Groups as their members report them.
    claimed
        Names of runners that are not free.
    excluded_domains
        Fabric domains in which no groups may end now.
    """

    def __init__(
        self,
        view: FleetView,
        reported: ReportedGroups,
        claimed: Collection[str],
        excluded_domains: Collection[str] = (),
    ) -> None:
        self._view = view
        self._reported = reported
        self._claimed = claimed
        self._excluded_domains = excluded_domains

    def between(
        self,
        recipient: ModelProfile,
        donor: ModelProfile,
    ) -> Iterator[Reallocation]:
        """Yield a reallocation for each fabric domain where one is possible.

        Groups of ``donor`` end until a group of ``recipient`` can be formed
        without a load from the weight store.
        """
        free_runners = free_by_domain(self._view, self._claimed)
        for domain, groups in self._groups_that_may_end(
            recipient, donor
        ).items():
            free = [
                runner
                for runner in free_runners[domain]
                if not must_load(runner, recipient)
            ]
            ending_count = math.ceil(
                (recipient.group_size - len(free)) / donor.group_size,
            )
            if 0 < ending_count <= len(groups):
                yield self._reallocation(
                    recipient, donor, free, groups[:ending_count]
                )

    def _groups_that_may_end(
        self,
        recipient: ModelProfile,
        donor: ModelProfile,
    ) -> dict[str, list[ReportedGroup]]:
        """Return the donor groups that may end, by fabric domain."""
        groups_by_domain: dict[str, list[ReportedGroup]] = defaultdict(list)
        for reported_group in self._reported.values():
            if self._view.evacuated.isdisjoint(
                reported_group.member_names
            ) and _may_end(reported_group, recipient, donor):
                groups_by_domain[
                    reported_group.members[0].fabric_domain
                ].append(reported_group)
        for domain in self._excluded_domains:
            groups_by_domain.pop(domain, None)
        return groups_by_domain

    def _reallocation(
        self,
        recipient: ModelProfile,
        donor: ModelProfile,
        free: list[DiscoveredRunner],
        groups: list[ReportedGroup],
    ) -> Reallocation:
        members = (
            *free,
            *itertools.chain.from_iterable(map(_sorted_by_rank, groups)),
        )
        return Reallocation(
            recipient,
            members[: recipient.group_size],
            {group.key: group.members[0] for group in groups},
            len(members) // recipient.group_size,
            _without_weights(recipient, free) // donor.group_size,
            len(members) % recipient.group_size // donor.group_size,
            self._view.now_s + _CLOSE_TIMEOUT_S,
        )


def _may_end(
    reported_group: ReportedGroup,
    recipient: ModelProfile,
    donor: ModelProfile,
) -> bool:
    """Return whether a donor group may end for a group of the recipient.

    It must accept requests, be complete and lie in one fabric domain, and its
    members must need no load of the recipient's weights from the weight store.
    """
    if reported_group.model != donor.name or reported_group.draining:
        return False
    if reported_group.leader_state is not MemberState.open:
        return False
    members = reported_group.members.values()
    domains = {runner.fabric_domain for runner in members}
    is_complete = (
        reported_group.has_all_members(donor.group_size) and len(domains) == 1
    )
    return is_complete and not any(
        must_load(runner, recipient) for runner in members
    )


def _without_weights(
    model: ModelProfile, runners: list[DiscoveredRunner]
) -> int:
    return sum(model.name not in runner.loaded_models for runner in runners)


def _sorted_by_rank(group: ReportedGroup) -> list[DiscoveredRunner]:
    return [group.members[rank] for rank in sorted(group.members)]
