"""Outages in which all hosts of a fabric domain become unreachable."""

from __future__ import annotations

import math
from collections.abc import Callable

from cowslipstep.groups._group_health import HostRecords

# Time for all hosts to answer again after an outage: a failed host is probed
# every 8 s, and its last probe may have just been sent.
_RETURN_TIMEOUT_S = 9
# If all hosts of a domain fail at once, each has missed enough probes by then.
_FAILURE_TIMEOUT_S = 2


class DomainOutageDetector:
    """Detects the start and the end of an outage of a whole fabric domain.

    Explanation
    -----------
    When all hosts fail or return at once, probes detect it for one host after
    the other. While more than half of the hosts miss probes, the others may
    have failed too and not have been probed since; after a timeout they would
    have missed enough probes to count as failed. When the first host answers
    again, the next probe of the others may be seconds away. Until these
    timeouts have passed no host counts as lost, since groups would be dissolved
    without need.

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
        """Return whether failed hosts may only be unreachable in an outage.

        The detector keeps the time at which this began, so it has to be called
        with each new state of the records.
        """
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
