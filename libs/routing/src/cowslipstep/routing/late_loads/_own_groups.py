"""Choice among groups whose load is known late.

Load pattern: dozens of daemons choose at the same moment, each with a few
requests a second for each model. What a daemon knows of the requests of the
others is some 0.3 s old, in which a fifth of them end and as many others
begin. Daemons that believe old reports send to a group that was the least
loaded one; requests wait there while other groups have free slots.

A daemon knows its own requests at once. Each daemon therefore prefers a few
groups of its own, to which few other daemons send, and leaves them for less
loaded ones by chance only if they have clearly more than the mean load. The
known difference of a group from the mean counts the less the older it is.

References
----------
M. Dahlin, "Interpreting Stale Load Information", IEEE Transactions on Parallel
and Distributed Systems 11(10), 2000.

M. Mitzenmacher, "How Useful Is Old Information?", IEEE Transactions on Parallel
and Distributed Systems 11(1), 2000.
"""

from __future__ import annotations

import math
import random
from collections.abc import Collection, Sequence
from statistics import fmean

from attrs import frozen

from cowslipstep.routing._first_event import GroupView
from cowslipstep.routing._placement import TimedGroup, less_loaded_of_two
from cowslipstep.routing._rendezvous import rendezvous_order

# Groups that a daemon prefers: with more of them, more daemons share each one,
# and a daemon knows a smaller part of its load at once.
_OWN_GROUPS = 2
# Daemons that may share a group. If more do, each one knows little of its load
# at once, and two random choices are as good.
_MAX_SHARED = 6
# Groups that are drawn at random if those have too much load.
_DRAWN = 3
# Part of the standard deviation of the loads, as far as it comes from their
# age, by which a preferred group may exceed the mean.
_MARGIN_DEVIATIONS = 0.5
_FLEET = 'own groups'


@frozen
class LoadAge:
    """Age of what a daemon knows of the requests of others.

    Parameters
    ----------
    report_age_s
        Mean age of the reports since the loads in them were counted, seconds.
    held_s
        Mean time for which a request is in progress, seconds.
    """

    report_age_s: float
    held_s: float

    @property
    def known_share(self) -> float:
        """Part of the reported requests that are still in progress."""
        return math.exp(-self.report_age_s / self.held_s)


@frozen
class PreferOwnGroups:
    """Chooses a group by loads that are known late; a ``ChooseGroup``.

    Parameters
    ----------
    preferred
        Names of the leaders of the groups that this daemon prefers.
    age
        Age of the loads.
    """

    preferred: Collection[str]
    age: LoadAge

    def __call__(
        self, on_time: Sequence[TimedGroup], rng: random.Random
    ) -> TimedGroup:
        """Return the chosen group; without own ones, the lesser of two."""
        own = self._preferred(on_time)
        if not own:
            return less_loaded_of_two(on_time, rng)
        usual, level = _mean_loads([entry.view for entry in on_time])
        preferred = self._least(usual, own)
        if self._expected(usual, preferred.view) <= level + self._margin(usual):
            return preferred
        drawn = rng.sample(on_time, min(_DRAWN, len(on_time)))
        return self._least(usual, (preferred, *drawn))

    def _preferred(self, on_time: Sequence[TimedGroup]) -> list[TimedGroup]:
        return [
            entry
            for entry in on_time
            if entry.view.group.leader.name in self.preferred
        ]

    def _least(
        self, usual: float, entries: Collection[TimedGroup]
    ) -> TimedGroup:
        return min(
            entries,
            key=lambda entry: (
                self._expected(usual, entry.view),
                entry.expected_s,
            ),
        )

    def _expected(self, usual: float, view: GroupView) -> float:
        """Return the requests that are probably in progress at a group."""
        others = _others(view)
        changed = (1 - self.age.known_share) * (usual - others)
        return view.own_requests + others + changed

    def _margin(self, usual: float) -> float:
        # As many requests of others begin as end.
        changes = 2 * usual * (1 - self.age.known_share)
        return _MARGIN_DEVIATIONS * math.sqrt(changes)


@frozen
class FleetPlace:
    """Place of a daemon among all.

    Parameters
    ----------
    number
        Its number in the order of all daemons, from zero.
    daemons
        Number of all daemons.
    """

    number: int
    daemons: int


def fleet_place(own: str, others: Collection[str]) -> FleetPlace:
    """Return the place of a daemon among all.

    All daemons order all of them in the same way, by hashes of their names, so
    that those of one failure domain are not neighbours.

    Examples
    --------
    >>> sorted(fleet_place(name, 'abcd').number for name in 'abcd')
    [0, 1, 2, 3]
    """
    names = rendezvous_order(_FLEET, sorted({own, *others}))
    return FleetPlace(names.index(own), len(names))


def own_groups(
    leaders: Collection[str], place: FleetPlace | None
) -> frozenset[str]:
    """Return the groups that a daemon prefers, by the names of their leaders.

    There are none if many daemons would share each group.

    Parameters
    ----------
    leaders
        Leaders of all groups of the model.
    place
        Place of the daemon, if it is known.

    Examples
    --------
    >>> sorted(own_groups('abcdef', FleetPlace(1, 2))), own_groups('ab', None)
    (['d', 'e'], frozenset())
    """
    count = len(leaders)
    if place is None or _OWN_GROUPS * place.daemons > _MAX_SHARED * count:
        return frozenset()
    ordered = sorted(leaders)
    first = place.number * count // place.daemons
    return frozenset((ordered * 2)[first : first + _OWN_GROUPS])


def _mean_loads(views: Collection[GroupView]) -> tuple[float, float]:
    """Return the mean requests of others and of all at a group."""
    level = fmean([view.load.requests for view in views])
    return level - fmean([view.own_requests for view in views]), level


def _others(view: GroupView) -> int:
    return view.load.requests - view.own_requests
