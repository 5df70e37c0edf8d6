"""Exchanges that the groups and free runners of a domain allow."""

from __future__ import annotations

import itertools
import math
from collections import defaultdict
from collections.abc import Collection, Iterator, Mapping

from attrs import frozen

from cowslipstep.fleet._decisions import FleetView
from cowslipstep.fleet._engines import ServedModel
from cowslipstep.fleet._formations import Formation, FormationKey
from cowslipstep.fleet._free_runners import free_by_domain, must_load
from cowslipstep.fleet._runners import DiscoveredRunner, SeatState

# Requests that run when a group closes end within this time, seconds.
_CLOSING_S = 6

Formations = Mapping[FormationKey, Formation]


@frozen
class Exchange:
    """Groups that end, and the group that is formed in their place.

    Parameters
    ----------
    model
        Model of the new group.
    members
        Its members, from the groups that end and from free runners.
    ending
        Heads of the groups that end.
    gained
        Groups of the model for which there are runners then.
    until_s
        Clock reading at which the exchange has failed.
    formed
        Whether the new group was ordered.
    """

    model: ServedModel
    members: tuple[DiscoveredRunner, ...]
    ending: Mapping[FormationKey, DiscoveredRunner]
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
        heads = frozenset(head.name for head in self.ending.values())
        return self.names | heads


class PossibleExchanges:
    """Finds exchanges between two models, one for each fabric domain.

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
        found: Formations,
        claimed: Collection[str],
    ) -> None:
        self._view = view
        self._found = found
        self._claimed = claimed

    def between(
        self,
        wanting: ServedModel,
        giving: ServedModel,
    ) -> Iterator[Exchange]:
        """Yield an exchange for each domain where one is possible."""
        idle = free_by_domain(self._view, self._claimed)
        for domain, groups in self._given(wanting, giving).items():
            free = [one for one in idle[domain] if not must_load(one, wanting)]
            number = math.ceil(
                (wanting.group_size - len(free)) / giving.group_size,
            )
            if 0 < number <= len(groups):
                yield self._exchange(wanting, free, groups[:number])

    def _given(
        self,
        wanting: ServedModel,
        giving: ServedModel,
    ) -> dict[str, list[Formation]]:
        """Return the groups that may end, by fabric domain."""
        given: dict[str, list[Formation]] = defaultdict(list)
        for formation in self._found.values():
            if _may_end(formation, wanting, giving):
                given[formation.members[0].fabric_domain].append(formation)
        return given

    def _exchange(
        self,
        wanting: ServedModel,
        free: list[DiscoveredRunner],
        groups: list[Formation],
    ) -> Exchange:
        members = (*free, *itertools.chain.from_iterable(map(_ranked, groups)))
        return Exchange(
            wanting,
            members[: wanting.group_size],
            {group.key: group.members[0] for group in groups},
            len(members) // wanting.group_size,
            self._view.now_s + _CLOSING_S,
        )


def _may_end(
    formation: Formation,
    wanting: ServedModel,
    giving: ServedModel,
) -> bool:
    """Whether a group serves, and could serve another model soon."""
    if formation.model != giving.name or formation.draining:
        return False
    if formation.head_state is not SeatState.open:
        return False
    members = formation.members.values()
    domains = {runner.fabric_domain for runner in members}
    whole = formation.is_whole(giving.group_size) and len(domains) == 1
    return whole and not any(must_load(runner, wanting) for runner in members)


def _ranked(group: Formation) -> list[DiscoveredRunner]:
    return [group.members[rank] for rank in sorted(group.members)]
