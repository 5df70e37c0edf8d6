"""Requests that one daemon may send to a cold runner.

Load pattern: a failure domain returns, and all its runners are cold for some
seconds. Each one is idle, so that all daemons choose it at once, and it
crashes well above the rate that it can bear. The number of daemons is larger
than the number of requests a second, so that equal shares are below one.

All daemons order each other for a runner in the same way, by rendezvous
hashing. The rate is dealt out in whole requests in that order, so that some
daemons have a share of one request and most have none.
"""

from __future__ import annotations

import math

from attrs import define, field, frozen

from cowslipstep.routing._rendezvous import rendezvous_order

# A second, and an allowance for clocks that differ in rate and resolution.
COLD_WINDOW_S = 1.05
# A daemon that starts has forgotten what it sent in the last second, and its
# entry has to reach the others before they and it share the rate.
COLD_START_HOLD_S = 3


@frozen
class ColdLimit:
    """Requests a second that all daemons together may send to a cold runner.

    Parameters
    ----------
    per_s
        Rate that the runner can bear.
    bound
        Largest number in any second.

    Examples
    --------
    >>> limit = ColdLimit(26, 44)
    >>> limit.in_touch, limit.cut_off
    (26, 18)
    """

    per_s: float
    bound: float

    @property
    def in_touch(self) -> int:
        """Requests that are dealt out to daemons that hear of others."""
        # A rate below one would keep the runner unused while it is cold.
        whole = max(1, math.floor(self.per_s))
        return min(math.floor(self.bound), whole)

    @property
    def cut_off(self) -> int:
        """Requests that are dealt out to daemons that hear of no other one.

        The daemons that are in touch may have dealt out their own anew.
        """
        rest = math.floor(self.bound) - self.in_touch
        return min(self.in_touch, rest)


@frozen
class KnownFleet:
    """The daemons that share the limits, as one of them knows them.

    Parameters
    ----------
    own
        Name of the daemon itself.
    others
        Names of the others that it has read.
    largest_known
        Largest number of daemons that it has heard of, itself included.
    """

    own: str
    others: frozenset[str]
    largest_known: int = 0

    @property
    def size(self) -> int:
        """Number of daemons, those included whose names are not known."""
        return max(len(self.others) + 1, self.largest_known)

    @property
    def names_all(self) -> bool:
        """Whether the names of all daemons are known."""
        return self.size == len(self.others) + 1

    def place(self, runner: str) -> int:
        """Return the place of this daemon in the order for a runner.

        Daemons whose names are not known count as before it, so that its
        place is never better than among all of them.
        """
        ordered = rendezvous_order(runner, sorted((self.own, *self.others)))
        unnamed = self.size - len(ordered)
        return ordered.index(self.own) + unnamed


def cold_share(dealt: int, place: int, size: int) -> int:
    """Return how many of the dealt requests the daemon at a place has.

    Parameters
    ----------
    dealt
        Requests that are dealt out to all daemons.
    place
        Place of the daemon in the order for the runner.
    size
        Number of daemons.

    Examples
    --------
    >>> [cold_share(26, place, 71) for place in (0, 25, 26, 70)]
    [1, 1, 0, 0]
    >>> [cold_share(26, place, 9) for place in (0, 7, 8)]
    [3, 3, 2]
    """
    whole, rest = divmod(max(0, dealt), size)
    return whole + (place < rest)


@define
class ColdAllowance:
    """Requests that a daemon has sent to cold runners lately.

    A request counts from the moment at which it was allowed until a window
    after it was written, however long the writing takes. All times are
    readings of a clock that does not stop while the host is suspended.

    Parameters
    ----------
    starts_s
        Time before which no request is allowed, seconds.

    Examples
    --------
    >>> allowance = ColdAllowance(starts_s=0)
    >>> allowance.take('r', 1, now_s=0), allowance.take('r', 1, now_s=0)
    (True, False)
    >>> allowance.record_written('r', now_s=0)
    >>> allowance.take('r', 1, now_s=1.1)
    True
    """

    _starts_s: float
    # Times until which sent requests count; infinite while they are written.
    _counted_until_s: dict[str, tuple[float, ...]] = field(
        init=False, factory=dict
    )

    def allows(self, runner: str, share: int, now_s: float) -> bool:
        """Return whether one more request may be sent to a runner now."""
        if now_s < self._starts_s:
            return False
        return len(self._counted(runner, now_s)) < share

    def take(self, runner: str, share: int, now_s: float) -> bool:
        """Count a request that is written now, if one more is allowed."""
        if not self.allows(runner, share, now_s):
            return False
        self._counted_until_s[runner] = (
            *self._counted(runner, now_s),
            math.inf,
        )
        return True

    def record_written(self, runner: str, now_s: float) -> None:
        """Record that a request that was taken is written."""
        counted = list(self._counted_until_s[runner])
        counted.remove(math.inf)
        self._counted_until_s[runner] = (*counted, now_s + COLD_WINDOW_S)

    def _counted(self, runner: str, now_s: float) -> tuple[float, ...]:
        """Return until when each request counts; forget the others."""
        counted = tuple(
            until_s
            for until_s in self._counted_until_s.pop(runner, ())
            if until_s > now_s
        )
        if counted:
            self._counted_until_s[runner] = counted
        return counted
