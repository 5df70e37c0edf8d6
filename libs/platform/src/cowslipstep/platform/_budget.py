"""Budget of calls to the platform, with a reserve for urgent kinds."""

from __future__ import annotations

import enum
from collections.abc import Callable, Mapping
from types import MappingProxyType

from attrs import field, frozen, validators

from cowslipstep.model import TokenBucket


class Priority(enum.IntEnum):
    """Priority of calls when the budget is short; zero is the highest."""

    lease = 0
    orders = 1
    configuration = 2
    status = 3


_DEFAULT_READS_PER_S = 100
_DEFAULT_WRITES_PER_S = 20
_BURST_DURATION_S = 2
_PRIORITIES: Mapping[str, Priority] = MappingProxyType(
    {
        'lease': Priority.lease,
        'ledger': Priority.lease,
        'orders': Priority.orders,
        'configuration': Priority.configuration,
        'daemons': Priority.configuration,
        'evacuations': Priority.configuration,
        'promptevidence': Priority.configuration,
    }
)
# Share of the burst that calls of a priority leave to more urgent calls.
_RESERVED_SHARES: Mapping[Priority, float] = MappingProxyType(
    {
        Priority.lease: 0,
        Priority.orders: 0.1,
        Priority.configuration: 0.3,
        Priority.status: 0.5,
    }
)


def priority_of(kind: str) -> Priority:
    """Return the priority of calls on objects of a kind.

    Examples
    --------
    >>> priority_of('lease') < priority_of('status')
    True
    """
    return _PRIORITIES.get(kind, Priority.status)


@frozen
class BudgetLimits:
    """Rate of one budget, calls a second, and the burst that it allows.

    Examples
    --------
    >>> BudgetLimits(20).burst
    40
    """

    calls_per_s: float = field(validator=validators.gt(0))

    @property
    def burst(self) -> float:
        """Calls that may be sent at once when the budget is unused."""
        return max(1, _BURST_DURATION_S * self.calls_per_s)


@frozen
class PlatformLimits:
    """Limits of one client for reads and for changes."""

    reads: BudgetLimits = BudgetLimits(_DEFAULT_READS_PER_S)
    writes: BudgetLimits = BudgetLimits(_DEFAULT_WRITES_PER_S)


class CallBudget:
    """Token bucket whose last tokens are reserved for urgent calls.

    Parameters
    ----------
    limits
        Rate and burst.
    clock
        Monotonic clock, seconds.

    Examples
    --------
    >>> budget = CallBudget(BudgetLimits(1), clock=lambda: 0)
    >>> [budget.take(Priority.status) for _ in range(2)]
    [True, True]
    >>> budget.take(Priority.lease)
    False
    """

    def __init__(
        self,
        limits: BudgetLimits,
        clock: Callable[[], float],
    ) -> None:
        self._limits = limits
        self._bucket = TokenBucket(limits.calls_per_s, limits.burst, clock)

    def change_limits(self, limits: BudgetLimits) -> None:
        """Replace the limits; the reserve for urgent calls scales with them."""
        self._bucket.reconfigure(limits.calls_per_s, limits.burst)
        self._limits = limits

    def take(self, priority: Priority) -> bool:
        """Take a token for one call; return false if none is left for it."""
        reserved = _RESERVED_SHARES[priority] * self._limits.burst
        return self._bucket.take(reserved=reserved)
