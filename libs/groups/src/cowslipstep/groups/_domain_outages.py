"""Fabric domains that go dark and come back."""

from __future__ import annotations

import math
from collections.abc import Callable

from cowslipstep.groups._group_health import HostRecords

# A dark host is probed each 8 s, and the last probe may have just begun.
_RETURN_TIMEOUT_S = 9
_FAILURE_TIMEOUT_S = 2


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
    >>> DomainOutageDetector(lambda: 0).are_losses_uncertain({})
    False
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._all_failed = False
        self._uncertain_since_s = math.inf

    def are_losses_uncertain(self, records: HostRecords) -> bool:
        """Whether hosts that seem lost may not be; to be asked often."""
        host_records = records.values()
        missed_count = sum(record.misses > 0 for record in host_records)
        if host_records and all(record.failed for record in host_records):
            self._all_failed = True
            self._uncertain_since_s = math.inf
            return True
        most_missed = missed_count > len(host_records) / 2
        if not missed_count or not (self._all_failed or most_missed):
            self._all_failed = False
            self._uncertain_since_s = math.inf
            return False
        return self._is_within_timeout()

    def _is_within_timeout(self) -> bool:
        now_s = self._clock()
        self._uncertain_since_s = min(self._uncertain_since_s, now_s)
        limit_s = _RETURN_TIMEOUT_S if self._all_failed else _FAILURE_TIMEOUT_S
        return now_s <= self._uncertain_since_s + limit_s
