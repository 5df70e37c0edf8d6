"""State of a daemon at its start, with counted calls to the platform."""

from __future__ import annotations

from cowslipstep.daemon._state import DaemonState
from cowslipstep.metrics import CounterKey, Counters
from cowslipstep.platform import BudgetLimits, CallRecord, PlatformClient
from cowslipstep.settings import DaemonSettings

_BURST_S = 2


def open_state(settings: DaemonSettings) -> DaemonState:
    """Return the state of a daemon that has just started."""
    counters = Counters()
    platform = PlatformClient(
        settings.platform_address,
        settings.name,
        budget_limits(settings.platform_calls_per_s),
        lambda record: counters.add(_call_key(record)),
    )
    return DaemonState(settings, platform, counters=counters)


def budget_limits(calls_per_s: float) -> BudgetLimits:
    """Return a budget that lets calls of two seconds pass at once.

    Examples
    --------
    >>> budget_limits(20).burst
    40
    """
    return BudgetLimits(calls_per_s, max(1, _BURST_S * calls_per_s))


def _call_key(record: CallRecord) -> CounterKey:
    labels = (
        ('method', record.method),
        ('kind', record.kind),
        ('outcome', record.outcome.value),
    )
    return CounterKey('platform_calls', labels)
