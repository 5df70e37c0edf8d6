"""Fabric domains that go dark and come back."""

from __future__ import annotations

import math
from collections.abc import Callable

from cowslipstep.groups._health import HostRecords

# A dark host is probed each 8 s, and the last probe may have just begun.
_RETURN_S = 9
_FAIL_S = 2


class DomainOutageDetector:
    """Tells whether a fabric domain goes dark or comes back just now.

    Explanation
    -----------
    Hosts that all fail, or come back, at once are seen to do so one after
    the other. While more than half of them miss probes, those that still
    answer say little, for as long as it takes all to fail; and the first
    that answers again says nothing of the others, whose next probe may be
    seconds away. Until then no host counts as lost.

    Parameters
    ----------
    clock
        Monotonic clock, seconds.

    Examples
    --------
    >>> DomainOutageDetector(lambda: 0).is_unsettled({})
    False
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._was_dark = False
        self._since_s = math.inf

    def is_unsettled(self, records: HostRecords) -> bool:
        """Whether hosts that seem lost may not be; to be asked often."""
        known = records.values()
        missing = sum(record.misses > 0 for record in known)
        if known and all(record.failed for record in known):
            self._was_dark = True
            self._since_s = math.inf
            return True
        most_miss = missing > len(known) / 2
        if not missing or not (self._was_dark or most_miss):
            self._was_dark = False
            self._since_s = math.inf
            return False
        return self._is_recent()

    def _is_recent(self) -> bool:
        now_s = self._clock()
        self._since_s = min(self._since_s, now_s)
        limit_s = _RETURN_S if self._was_dark else _FAIL_S
        return now_s <= self._since_s + limit_s
