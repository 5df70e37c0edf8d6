"""Budget of the bytes that callers make a process hold.

Load pattern: many clients that nobody controls send requests and stop short of
their end, or do not read their responses, so that the sum of what is held for
them exceeds the memory of the machine.
"""

from __future__ import annotations

from collections.abc import Callable
from itertools import count

from attrs import define, field

from cowslipstep.memory._byte_limits import ByteLimits
from cowslipstep.memory._holders import Holder, choose_loser


@define
class HeldTotals:
    """Sums of what is held.

    Attributes
    ----------
    held_bytes
        Bytes of all holders, also of those that have lost.
    kept_bytes
        Bytes of those that have not lost.
    kept_by_large
        Bytes of the large ones among these.
    losses
        Number of holders that have lost.
    holders
        Those that hold something and have not lost.
    """

    held_bytes: int = 0
    kept_bytes: int = 0
    kept_by_large: int = 0
    losses: int = 0
    holders: set[Holder] = field(factory=set)

    def change(self, holder: Holder, added_bytes: int) -> None:
        """Change what a holder holds."""
        self._count(holder, -holder.held_bytes)
        holder.held_bytes += added_bytes
        self.held_bytes += added_bytes
        self._count(holder, holder.held_bytes)

    def lose(self, holder: Holder) -> None:
        """Count a holder no more among those that keep what they hold."""
        self._count(holder, -holder.held_bytes)
        holder.lost = True
        self.losses += 1
        self.holders.discard(holder)

    def _count(self, holder: Holder, kept_bytes: int) -> None:
        if holder.lost:
            return
        self.kept_bytes += kept_bytes
        if holder.is_large:
            self.kept_by_large += kept_bytes
        if holder.held_bytes:
            self.holders.add(holder)
        else:
            self.holders.discard(holder)


class ByteBudget:
    """Decides who may hold bytes.

    Parameters
    ----------
    current_limits
        Returns the limits in force.
    clock
        Monotonic clock, seconds.
    """

    def __init__(
        self,
        current_limits: Callable[[], ByteLimits],
        clock: Callable[[], float],
    ) -> None:
        self._current_limits = current_limits
        self._clock = clock
        self._numbers = count()
        self._totals = HeldTotals()

    @property
    def limits(self) -> ByteLimits:
        """The limits in force."""
        return self._current_limits()

    @property
    def totals(self) -> HeldTotals:
        """Sums of what is held."""
        return self._totals

    def holder(self, on_loss: Callable[[], None]) -> Holder:
        """Return a new holder, which holds nothing yet.

        Parameters
        ----------
        on_loss
            Called when it loses while another one is charged.
        """
        return Holder(next(self._numbers), on_loss, self._clock)

    def charge(self, holder: Holder, charged_bytes: int) -> bool:
        """Charge bytes that a holder holds; return whether it may.

        Others may lose instead.
        """
        self._totals.change(holder, charged_bytes)
        while not holder.lost and self._is_over(holder):
            loser = choose_loser(self._totals.holders, holder)
            self._totals.lose(loser)
            if loser is not holder:
                loser.on_loss()
        return not holder.lost

    def release(self, holder: Holder, released_bytes: int) -> None:
        """Release bytes that a holder no longer holds."""
        self._totals.change(holder, -released_bytes)

    def _is_over(self, charged: Holder) -> bool:
        limits = self.limits
        if self._totals.kept_bytes > limits.max_bytes:
            return True
        return (
            charged.is_large
            and self._totals.kept_by_large > limits.max_large_bytes
        )
