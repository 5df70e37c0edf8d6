"""Holders of bytes, and which one loses what it holds.

Load pattern: clients that send all of a request but its end, or do not read
their responses, between others that make progress.
"""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterable, Iterator

from attrs import define, field

from cowslipstep.memory._byte_limits import SMALL_BYTES
from cowslipstep.memory._byte_progress import ByteProgress


@define(eq=False)
class Holder:
    """One connection of a caller, as the budget sees it.

    Attributes
    ----------
    order
        Number of the holder; a newer one has a higher number.
    on_loss
        Called when it loses while another one is charged.
    held_bytes
        Bytes that are charged to it.
    can_lose
        Whether it waits for its caller, so that it may lose. A request that
        runs at an upstream does not.
    lost
        Whether it shall release what it holds.
    """

    order: int
    on_loss: Callable[[], None]
    _clock: Callable[[], float]
    held_bytes: int = 0
    can_lose: bool = False
    lost: bool = False
    _progress: ByteProgress = field(factory=ByteProgress)

    @property
    def is_large(self) -> bool:
        """Whether it holds too much for the reserve of small holders."""
        return self.held_bytes > SMALL_BYTES

    @property
    def is_stalled(self) -> bool:
        """Whether it has had time for progress, but there is none."""
        return self._progress.is_stalled(self._clock())

    @property
    def recent_bytes(self) -> int:
        """Bytes that it received or sent lately."""
        return self._progress.recent_bytes(self._clock())

    def record_progress(self, moved_bytes: int) -> None:
        """Count bytes that it received or sent."""
        self._progress.record(moved_bytes, self._clock())

    @contextlib.contextmanager
    def waiting_for_caller(self) -> Iterator[None]:
        """Let it lose meanwhile; its progress begins anew."""
        self._progress = ByteProgress(self._clock())
        self.can_lose = True
        try:
            yield
        finally:
            self.can_lose = False


def choose_loser(holders: Iterable[Holder], charged: Holder) -> Holder:
    """Return the holder that loses so that a charged one may go on.

    The one with the least progress loses; if all make progress, the newest.
    A large holder displaces no small one.
    """
    waiting = [
        holder
        for holder in holders
        if holder.can_lose and (holder.is_large or not charged.is_large)
    ]
    stalled = [holder for holder in waiting if holder.is_stalled]
    if stalled:
        return min(stalled, key=_progress_order)
    return max(waiting, key=lambda holder: holder.order, default=charged)


def _progress_order(holder: Holder) -> tuple[int, int, int]:
    return (holder.recent_bytes, -holder.held_bytes, holder.order)
