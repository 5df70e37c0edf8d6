"""Progress of a holder of bytes: what it moved lately.

Load pattern: clients that send all of a request but its end, or one byte now
and then, and so hold memory without using it.
"""

from __future__ import annotations

from attrs import Factory, define, field

# Progress is counted over the period that runs and the one before it.
_PERIOD_S = 1.0
# Less than this in the counted periods is not progress. A client that moves
# 16 kB a second finishes a body of 4 MB only after four minutes.
_MIN_PROGRESS_BYTES = 16384


@define
class ByteProgress:
    """Bytes that one holder moved lately.

    Parameters
    ----------
    began_s
        Clock reading at which it began to send or receive.

    Examples
    --------
    >>> progress = ByteProgress(began_s=0)
    >>> progress.record(100000, now_s=0.1)
    >>> progress.is_stalled(now_s=1.5), progress.is_stalled(now_s=2.5)
    (False, True)
    """

    began_s: float = 0
    _period_began_s: float = field(
        default=Factory(lambda progress: progress.began_s, takes_self=True)
    )
    _bytes: int = 0
    _bytes_before: int = 0

    def record(self, moved_bytes: int, now_s: float) -> None:
        """Count bytes that were moved."""
        self._advance(now_s)
        self._bytes += moved_bytes

    def recent_bytes(self, now_s: float) -> int:
        """Return the bytes of this period and the one before."""
        self._advance(now_s)
        return self._bytes + self._bytes_before

    def is_stalled(self, now_s: float) -> bool:
        """Whether there was time for progress, but there is none."""
        return (
            now_s - self.began_s >= _PERIOD_S
            and self.recent_bytes(now_s) < _MIN_PROGRESS_BYTES
        )

    def _advance(self, now_s: float) -> None:
        periods = int((now_s - self._period_began_s) / _PERIOD_S)
        if periods <= 0:
            return
        self._bytes_before = self._bytes if periods == 1 else 0
        self._bytes = 0
        self._period_began_s += periods * _PERIOD_S
