"""Grants in use, by request."""

from __future__ import annotations

import collections
from collections.abc import Iterator, Mapping

from attrs import define, frozen

from cowslipstep.model import Rank
from cowslipstep.routing._views import Clock

GRANT_VALID_S = 10


@frozen
class GrantedWork:
    """The request that a grant is for, as far as accounts need it."""

    request_id: str
    group: str
    workspace: str
    rank: str
    prompt_tokens: int


@define
class Granted:
    """A grant in use.

    Attributes
    ----------
    charged_tokens
        Tokens that its rank and workspace were charged so far.
    """

    work: GrantedWork
    charged_tokens: int
    granted_at_s: float
    expires_s: float


class SlotUses:
    """Counts slots in use, by group and by rank and workspace."""

    def __init__(self) -> None:
        self._groups: collections.Counter[str] = collections.Counter()
        self._ranks: dict[str, collections.Counter[str]] = {}

    def add(self, work: GrantedWork) -> None:
        """Count a slot in use."""
        self._groups[work.group] += 1
        in_rank = self._ranks.setdefault(work.rank, collections.Counter())
        in_rank[work.workspace] += 1

    def remove(self, work: GrantedWork) -> None:
        """Count a slot in use no more."""
        _count_down(self._groups, work.group)
        _count_down(self._ranks[work.rank], work.workspace)

    def of_group(self, group: str) -> int:
        """Return the number of slots in use on a group."""
        return self._groups.get(group, 0)

    def by_workspace(self, rank: Rank) -> Mapping[str, int]:
        """Return the numbers of slots that the workspaces of a rank use."""
        return self._ranks.get(rank.name, {})


class GrantTable:
    """Exact count of the slots in use; grants run out unless renewed.

    All grants are valid for the same time, so that the order of renewal is
    the order in which they run out.

    Parameters
    ----------
    clock
        Monotonic clock, seconds.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._uses = SlotUses()
        self._granted: collections.OrderedDict[str, Granted] = (
            collections.OrderedDict()
        )

    @property
    def uses(self) -> SlotUses:
        """Numbers of slots in use."""
        return self._uses

    @property
    def size(self) -> int:
        """Number of grants in use."""
        return len(self._granted)

    def add(self, work: GrantedWork, charged_tokens: int) -> None:
        """Note a new grant; one for the same request is replaced."""
        self.remove(work.request_id)
        now = self._clock()
        self._granted[work.request_id] = Granted(
            work,
            charged_tokens,
            now,
            now + GRANT_VALID_S,
        )
        self._uses.add(work)

    def renew(self, request_id: str) -> Granted | None:
        """Extend a grant and return it; one that has run out stays ended."""
        granted = self._granted.get(request_id)
        if granted is not None:
            granted.expires_s = self._clock() + GRANT_VALID_S
            self._granted.move_to_end(request_id)
        return granted

    def remove(self, request_id: str) -> Granted | None:
        """End a grant and return it, if there is one."""
        granted = self._granted.pop(request_id, None)
        if granted is not None:
            self._uses.remove(granted.work)
        return granted

    def expire(self) -> Iterator[Granted]:
        """End the grants whose time has run out and yield them."""
        now = self._clock()
        while self._granted:
            first = next(iter(self._granted.values()))
            if first.expires_s > now:
                return
            self.remove(first.work.request_id)
            yield first


def _count_down(counter: collections.Counter[str], name: str) -> None:
    counter[name] -= 1
    if not counter[name]:
        counter.pop(name)
