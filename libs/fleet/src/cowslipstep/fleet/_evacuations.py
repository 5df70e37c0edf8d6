"""Failure domains that are evacuated, as of a revision of the platform.

Load pattern: a failure domain is taken out of service as a whole, for example
a third of all runners at once, while requests go on and some daemons are cut
off from the platform.
"""

from __future__ import annotations

import functools
from collections.abc import Iterable, Mapping

from attrs import evolve, field, frozen

from cowslipstep.fleet._decisions import FleetView
from cowslipstep.fleet._runners import DiscoveredRunner

# Copies of runners that are kept between the decisions of the controller: a
# third of the largest fleet.
_KEPT_COPIES = 1024


@frozen
class Evacuations:
    """The evacuated failure domains.

    Parameters
    ----------
    revision
        Revision of the platform up to which the evacuations were read; zero
        if they are not known.
    domains
        Failure domains whose runners get no requests.

    Examples
    --------
    >>> Evacuations(3, frozenset(('north',))).concerns(('north', 'south'))
    True
    """

    revision: int = 0
    domains: frozenset[str] = field(default=frozenset())

    def concerns(self, failure_domains: Iterable[str]) -> bool:
        """Return whether one of these failure domains is evacuated."""
        return bool(self.domains) and not self.domains.isdisjoint(
            failure_domains
        )


def join_evacuations(known: Evacuations, received: Evacuations) -> Evacuations:
    """Return the newer ones of two; the known ones if they are equally new.

    An evacuation that was withdrawn is missing at a newer revision, so the
    domains of both must not be merged.

    Examples
    --------
    >>> known = Evacuations(3, frozenset(('north',)))
    >>> join_evacuations(known, Evacuations(4)).domains
    frozenset()
    """
    return received if received.revision > known.revision else known


def exclude_evacuated(view: FleetView, evacuations: Evacuations) -> FleetView:
    """Return a view in which no group is formed in evacuated domains.

    Runners without a group count as draining. Groups stay formed, so that
    they serve at once when their domain returns: groups that were closed came
    back after a load of weights, 12 to 16 s later.
    """
    if not evacuations.domains:
        return view
    evacuated: Mapping[str, DiscoveredRunner] = {
        name: runner if runner.group_position else _draining(runner)
        for name, runner in view.runners.items()
        if runner.failure_domain in evacuations.domains
    }
    return evolve(
        view,
        runners={**view.runners, **evacuated},
        evacuated=frozenset(evacuated),
    )


@functools.lru_cache(maxsize=_KEPT_COPIES)
def _draining(runner: DiscoveredRunner) -> DiscoveredRunner:
    return evolve(runner, draining=True)
