"""Active grants, by request."""

from __future__ import annotations

import collections
from collections.abc import Iterator, Mapping

from attrs import define, frozen

from cowslipstep.model import Rank
from cowslipstep.routing._dispatcher_types import Clock

GRANT_VALID_S = 10


@frozen
class GrantedRequest:
    """The request of a grant, as far as accounting needs it."""

    request_id: str
    group: str
    workspace: str
    rank: str
    prompt_tokens: int


@define
class ActiveGrant:
    """A grant that has neither ended nor expired.

    Attributes
    ----------
    request
        The request that uses the slot.
    charged_tokens
        Tokens that rank and workspace were charged for it so far.
    granted_at_s
        Clock reading at which the grant was added.
    expires_s
        Clock reading at which it expires unless renewed.
    """

    request: GrantedRequest
    charged_tokens: int
    granted_at_s: float
    expires_s: float


class SlotCounts:
    """Counts slots in use, by group and by rank and workspace."""

    def __init__(self) -> None:
        self._groups: collections.Counter[str] = collections.Counter()
        self._ranks: dict[str, collections.Counter[str]] = {}

    def add(self, request: GrantedRequest) -> None:
        """Count a slot in use."""
        self._groups[request.group] += 1
        in_rank = self._ranks.setdefault(request.rank, collections.Counter())
        in_rank[request.workspace] += 1

    def remove(self, request: GrantedRequest) -> None:
        """Count a slot as no longer in use."""
        _decrement(self._groups, request.group)
        _decrement(self._ranks[request.rank], request.workspace)

    def of_group(self, group: str) -> int:
        """Return the number of slots in use on a group."""
        return self._groups.get(group, 0)

    def by_workspace(self, rank: Rank) -> Mapping[str, int]:
        """Return the number of slots in use by each workspace of a rank."""
        return self._ranks.get(rank.name, {})


class GrantTable:
    """Active grants and counts of their slots; grants expire unless renewed.

    All grants are valid for the same time, so that they expire in the order
    of their last renewal.

    Parameters
    ----------
    clock
        Monotonic clock, seconds.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._slot_counts = SlotCounts()
        self._granted: collections.OrderedDict[str, ActiveGrant] = (
            collections.OrderedDict()
        )

    @property
    def slot_counts(self) -> SlotCounts:
        """Counts of the slots in use."""
        return self._slot_counts

    @property
    def size(self) -> int:
        """Number of active grants."""
        return len(self._granted)

    def add(self, request: GrantedRequest, charged_tokens: int) -> None:
        """Add a grant; one for the same request is replaced."""
        self.remove(request.request_id)
        now = self._clock()
        self._granted[request.request_id] = ActiveGrant(
            request,
            charged_tokens,
            now,
            now + GRANT_VALID_S,
        )
        self._slot_counts.add(request)

    def renew(self, request_id: str) -> ActiveGrant | None:
        """Extend a grant and return it, or ``None`` if it is not active."""
        granted = self._granted.get(request_id)
        if granted is not None:
            granted.expires_s = self._clock() + GRANT_VALID_S
            self._granted.move_to_end(request_id)
        return granted

    def remove(self, request_id: str) -> ActiveGrant | None:
        """End a grant and return it, or ``None`` if it is not active."""
        granted = self._granted.pop(request_id, None)
        if granted is not None:
            self._slot_counts.remove(granted.request)
        return granted

    def expire(self) -> Iterator[ActiveGrant]:
        """End the grants that have expired and yield them."""
        now = self._clock()
        while self._granted:
            first = next(iter(self._granted.values()))
            if first.expires_s > now:
                return
            self.remove(first.request.request_id)
            yield first


def _decrement(counter: collections.Counter[str], name: str) -> None:
    counter[name] -= 1
    if not counter[name]:
        counter.pop(name)
