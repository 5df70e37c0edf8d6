"""Tasks that watch the evacuations of failure domains and log their use."""

from __future__ import annotations

from cowslipstep.daemon._tasks import repeat
from cowslipstep.serving._evacuation_log import EvacuationLog
from cowslipstep.serving._evacuations import (
    EVACUATIONS_KIND,
    EvacuationObserver,
)
from cowslipstep.serving._kind_watch import (
    WATCH_TIMEOUT_S,
    KindWatch,
    WatchSchedule,
)
from cowslipstep.serving._state import ServingState
from cowslipstep.serving._watch_reliance import WatchReliance

_WATCH_INTERVAL_S = 0.3
_LOG_PERIOD_S = 1
# A watch call waits for this part of the time within which an evacuation takes
# effect: a call to a silent store ends up to 2 s later, and a list follows.
_WATCH_TIMEOUT_SHARE = 0.4


def start_evacuation_tasks(state: ServingState) -> None:
    """Start the tasks, if failure domains are evacuated in this deployment."""
    evacuation_s = state.settings.bounds.evacuation_s
    if evacuation_s is None:
        return
    timeout_s = min(WATCH_TIMEOUT_S, _WATCH_TIMEOUT_SHARE * evacuation_s)
    watch = KindWatch(
        state.platform,
        EVACUATIONS_KIND,
        EvacuationObserver(state.evacuations),
        WatchSchedule(
            lambda: _WATCH_INTERVAL_S,
            # The reports of the relay carry the evacuations.
            is_relayed=lambda: state.relay_role.relies_on_relay,
            timeout_s=lambda: timeout_s,
            # An evacuation that was written before a restart must be known
            # after it.
            first_may_be_stale=False,
            doubt=WatchReliance(state).doubt,
        ),
    )
    state.process.tasks.start(f'watch of {watch.kind}', watch.run)
    state.process.tasks.start(
        'log of evacuations',
        repeat(_LOG_PERIOD_S, EvacuationLog(state).log),
        essential=False,
    )
