"""Outlier detection: groups that are slow or fail get fewer requests."""

from __future__ import annotations

import statistics
from collections.abc import Iterable

from attrs import define, field

from cowslipstep.routing._dispatcher_types import Clock
from cowslipstep.routing._rates import ServiceRate

# A group is slow if its speed is below this part of the median.
_SLOW_SPEED_RATIO = 0.5
_MIN_WEIGHT = 0.1
_FAILURES_TO_EJECT = 3
_WEIGHT_FACTOR_PER_FAILURE = 0.5
_FAILURE_MEMORY_S = 10
_EJECTION_S = 5
_MAX_EJECTED_SHARE = 1 / 3


@define
class _Record:
    """Recent speed and failures of a group."""

    speed: ServiceRate = field(factory=ServiceRate)
    failures: int = 0
    failed_at_s: float = 0
    ejected_until_s: float = 0


class OutlierDetector:
    """Compares the speed and the failures of the groups of a cell.

    Parameters
    ----------
    clock
        Monotonic clock, seconds.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._records: dict[str, _Record] = {}
        self._median_per_s: float = 0
        self._common_failures: int = 0

    def update_groups(self, groups: Iterable[str]) -> None:
        """Set the groups; compute their median speed and common failures.

        To be called periodically.
        """
        old = self._records
        self._records = {group: old.get(group, _Record()) for group in groups}
        records = self._records.values()
        oldest_s = self._clock() - _FAILURE_MEMORY_S
        self._common_failures = min(
            (_recent_failures(record, oldest_s) for record in records),
            default=0,
        )
        speeds = [record.speed.per_s for record in records]
        self._median_per_s = _median(speed for speed in speeds if speed)

    def record_end(
        self,
        group: str,
        tokens: float,
        held_s: float,
        *,
        failed: bool,
    ) -> None:
        """Record the end of a request on a group.

        Parameters
        ----------
        group
            Name of the group.
        tokens
            Tokens that the group streamed.
        held_s
            For how long the request held its slot, seconds; zero if the
            speed is not to be measured.
        failed
            Whether the attempt on the group failed.
        """
        record = self._records.get(group)
        if record is None:
            return
        record.speed.add(tokens, held_s)
        record.failures = record.failures + 1 if failed else 0
        record.failed_at_s = self._clock()
        if record.failures >= _FAILURES_TO_EJECT and self._may_eject():
            record.ejected_until_s = self._clock() + _EJECTION_S

    def weight(self, group: str) -> float:
        """Return the share of its slots that a group should use, 0 to 1.

        A slow or failing group keeps a small share, so that its recovery is
        noticed. As many failures as every group has do not lower the weight.
        """
        record = self._records.get(group, _Record())
        extra_failures = max(0, record.failures - self._common_failures)
        failure_weight = _WEIGHT_FACTOR_PER_FAILURE**extra_failures
        speed = self._relative_speed(record)
        return max(speed * failure_weight, _MIN_WEIGHT)

    def is_ejected(self, group: str) -> bool:
        """Whether a group gets no requests at the moment."""
        record = self._records.get(group)
        return record is not None and record.ejected_until_s > self._clock()

    def _relative_speed(self, record: _Record) -> float:
        if not (self._median_per_s and record.speed.per_s):
            return 1
        speed = record.speed.per_s / self._median_per_s
        return speed if speed < _SLOW_SPEED_RATIO else 1

    def _may_eject(self) -> bool:
        # Even one of two groups may be ejected: a group that fails requests
        # at once always has free slots and would attract all requests.
        group_count = len(self._records)
        max_ejected = max(1, group_count * _MAX_EJECTED_SHARE)
        ejected = sum(self.is_ejected(group) for group in self._records)
        return ejected + 1 <= min(max_ejected, group_count - 1)


def _recent_failures(record: _Record, oldest_s: float) -> int:
    """Return the failures in a row, after a reset if the last one is old."""
    if record.failed_at_s < oldest_s:
        record.failures = 0
    return record.failures


def _median(speeds: Iterable[float]) -> float:
    measured = tuple(speeds)
    return statistics.median(measured) if measured else 0
