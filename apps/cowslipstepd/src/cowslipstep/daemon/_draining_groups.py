"""Which groups take no new work, as keepers tell the probing daemons."""

from __future__ import annotations

from collections.abc import Iterable

from cowslipstep.daemon._drains import DrainTracker
from cowslipstep.daemon._leaving import LeavingFeed


class DrainingGroups:
    """Draining groups of each fabric domain, by the word of its keeper.

    What a keeper has told stands until a keeper tells otherwise, also while
    a new one has not yet read which hosts leave.

    Parameters
    ----------
    feed
        Reads which hosts leave.
    """

    def __init__(self, feed: LeavingFeed) -> None:
        self._feed = feed
        self._told: dict[str, frozenset[str]] = {}

    @property
    def is_known(self) -> bool:
        """Whether this daemon has read which hosts leave."""
        return self._feed.is_known

    def of(self, domain: str) -> frozenset[str]:
        """Return the draining groups of a domain."""
        return self._told.get(domain, frozenset())

    def learn(self, domain: str, groups: Iterable[str]) -> None:
        """Take over what the keeper of a domain tells."""
        self._told[domain] = frozenset(groups)

    def follow(self, domain: str, tracker: DrainTracker) -> None:
        """Take over the drains that this daemon follows as a keeper."""
        found = tracker.draining_in(domain)
        told = frozenset() if self.is_known else self.of(domain)
        self._told[domain] = told | found
