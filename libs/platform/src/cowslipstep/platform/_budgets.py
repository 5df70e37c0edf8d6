"""Budgets of the calls of one client: one for reads, one for changes."""

from __future__ import annotations

from collections.abc import Callable

from cowslipstep.platform._budget import (
    CallBudget,
    PlatformLimits,
    priority_of,
)
from cowslipstep.platform._calls import PlatformCall


class CallBudgets:
    """Admits reads and changes, each within its own budget.

    Parameters
    ----------
    limits
        Limits of both budgets.
    clock
        Monotonic clock, seconds.
    """

    def __init__(
        self,
        limits: PlatformLimits,
        clock: Callable[[], float],
    ) -> None:
        self._reads = CallBudget(limits.reads, clock)
        self._writes = CallBudget(limits.writes, clock)

    def admit(self, call: PlatformCall) -> bool:
        """Take a token for a call; return false if it may not be sent now."""
        budget = self._reads if call.method == 'GET' else self._writes
        return budget.take(priority_of(call.kind))

    def change_limits(self, limits: PlatformLimits) -> None:
        """Replace the limits of both budgets."""
        self._reads.change_limits(limits.reads)
        self._writes.change_limits(limits.writes)
