"""Measures how long the tasks of a test could not run."""

from __future__ import annotations

import eventlet

from cowslipstep.tasks import LoopWatch

_PERIOD_S = 0.005


def watch_pauses() -> list[float]:
    """Start a task that adds pauses, seconds, to the list returned."""
    pauses: list[float] = [0]
    watch = LoopWatch(lambda late_s, _busy_s: pauses.append(late_s), _PERIOD_S)
    eventlet.spawn(watch.run)
    return pauses
