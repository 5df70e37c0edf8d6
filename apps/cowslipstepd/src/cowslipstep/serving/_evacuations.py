"""Evacuated failure domains as this daemon knows them."""

from __future__ import annotations

import time
from collections.abc import Callable, Collection, Sequence

from attrs import frozen
from loguru import logger

from cowslipstep.daemon._upstream_failures import NotSent
from cowslipstep.fleet import Evacuations, ServingGroup, join_evacuations
from cowslipstep.model import NotRun, Reason
from cowslipstep.model.loads import LoadReport
from cowslipstep.platform import KindChanges, ObjectPage, era_of

# Objects whose names are the evacuated failure domains.
EVACUATIONS_KIND = 'evacuations'
# The operator writes again what a restored store has lost within this time.
_WRITTEN_AGAIN_S = 3


class EvacuationState:
    """Holds the newest evacuations from the platform or a peer.

    Parameters
    ----------
    is_enabled
        Whether failure domains are evacuated in this deployment; if not,
        nothing is learned and no domain is evacuated.
    """

    def __init__(self, *, is_enabled: bool) -> None:
        self._is_enabled = is_enabled
        self._was_read = False
        self._current = Evacuations()

    @property
    def is_enabled(self) -> bool:
        """Whether failure domains are evacuated in this deployment."""
        return self._is_enabled

    @property
    def is_known(self) -> bool:
        """Whether it is known which domains are evacuated."""
        return self._was_read or not self._is_enabled

    @property
    def current(self) -> Evacuations:
        """The evacuations, and the revision up to which they were read."""
        return self._current

    def is_evacuated(self, failure_domain: str) -> bool:
        """Return whether the runners of a domain get no requests."""
        return failure_domain in self._current.domains

    def raise_if_evacuated(self, failure_domains: Collection[str]) -> None:
        """Raise if one of these domains is evacuated.

        Raises
        ------
        NotSent
            To be called before a request is written.
        """
        if self._current.concerns(failure_domains):
            raise NotSent(
                NotRun(Reason.upstream_evacuated),
                'its failure domain is evacuated',
            )

    def learn(self, received: Evacuations, source: str) -> None:
        """Replace the known evacuations if the received ones are newer.

        Parameters
        ----------
        received
            Evacuations that were read completely up to their revision.
        source
            Where they come from, for the log.
        """
        if not self._is_enabled:
            return
        self._was_read = True
        known = self._current
        self._current = join_evacuations(known, received)
        bound = logger.bind(revision=self._current.revision, source=source)
        for begun in sorted(self._current.domains - known.domains):
            bound.bind(failure_domain=begun).warning(
                'evacuation begins, no more requests to this failure domain'
            )
        for ended in sorted(known.domains - self._current.domains):
            bound.bind(failure_domain=ended).warning(
                'evacuation ends, requests to this failure domain again'
            )


def learn_from_report(state: EvacuationState, report: LoadReport) -> None:
    """Learn the evacuations that a peer knows, whatever its role is."""
    if report.evacuations_revision:
        received = Evacuations(
            report.evacuations_revision, frozenset(report.evacuated_domains)
        )
        state.learn(received, report.daemon)


def groups_outside(
    evacuations: Evacuations, groups: Sequence[ServingGroup]
) -> Sequence[ServingGroup]:
    """Return the groups without a member in an evacuated domain."""
    if not evacuations.domains:
        return groups
    return [
        group
        for group in groups
        if not evacuations.concerns(group.failure_domains)
    ]


class EvacuationObserver:
    """Reads evacuations from the watch of their kind.

    It keeps what the watch delivered apart from what peers report: a copy of
    a peer may be ahead of the watch, which is complete at its own revision.

    Parameters
    ----------
    state
        Learns the evacuations.
    clock
        Monotonic clock, seconds.
    """

    def __init__(
        self,
        state: EvacuationState,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._state = state
        self._clock = clock
        self._domains: frozenset[str] = frozenset()
        self._revision = 0
        self._unconfirmed = _Unconfirmed()

    def replace(self, page: ObjectPage) -> None:
        """Replace the evacuations by a full list of the kind.

        A store that came back from an older copy may lack some, which the
        operator writes again. They stay in force meanwhile.
        """
        listed = frozenset(stored.key.name for stored in page.stored_objects)
        if era_of(page.revision) > era_of(self._revision):
            self._unconfirmed = _Unconfirmed(
                self._domains - listed, self._clock() + _WRITTEN_AGAIN_S
            )
        self._domains = listed
        self._learn(page.revision)

    def apply(self, changes: KindChanges) -> None:
        """Apply evacuations that begin and end."""
        domains = set(self._domains)
        for change in changes.changes:
            name = change.stored_object.key.name
            if change.removed:
                domains.discard(name)
            else:
                domains.add(name)
        self._domains = frozenset(domains)
        self._learn(changes.revision)

    def on_outage(self) -> None:
        """Keep the evacuations during an outage of the platform."""

    def _learn(self, revision: int) -> None:
        self._revision = revision
        domains = self._domains | self._unconfirmed.at(self._clock())
        self._state.learn(Evacuations(revision, domains), 'platform')


@frozen
class _Unconfirmed:
    """Evacuations that a restored store may have lost, and until when."""

    domains: frozenset[str] = frozenset()
    ends_s: float = 0

    def at(self, now_s: float) -> frozenset[str]:
        """Return those that are still in force."""
        return self.domains if now_s < self.ends_s else frozenset()
