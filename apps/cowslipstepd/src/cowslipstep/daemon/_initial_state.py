"""State of a daemon at its start."""

from __future__ import annotations

from cowslipstep.daemon._platform_limits import platform_limits
from cowslipstep.daemon._state import DaemonState
from cowslipstep.daemon._time_limits import call_time_limit
from cowslipstep.metrics import CounterKey, Counters
from cowslipstep.platform import CallHooks, CallRecord, PlatformClient
from cowslipstep.settings import DaemonSettings


def create_state(settings: DaemonSettings) -> DaemonState:
    """Return the state of a starting daemon.

    Its platform client counts calls by method, kind and outcome.
    """
    counters = Counters()
    platform = PlatformClient(
        settings.platform_address,
        settings.name,
        platform_limits(settings, len(settings.peers) + 1),
        CallHooks(
            lambda record: counters.add(_platform_call_key(record)),
            call_time_limit,
        ),
    )
    return DaemonState(settings, platform, counters=counters)


def _platform_call_key(record: CallRecord) -> CounterKey:
    labels = (
        ('method', record.method),
        ('kind', record.kind),
        ('outcome', record.outcome.value),
    )
    return CounterKey('platform_calls', labels)
