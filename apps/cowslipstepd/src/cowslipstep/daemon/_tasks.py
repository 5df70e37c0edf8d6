"""Tasks that log why they end."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import eventlet
from loguru import logger

_RESTART_DELAY_S = 1


def start_task(name: str, run: Callable[[], None]) -> Any:
    """Start a task that is restarted, with a log line, if it fails.

    Parameters
    ----------
    name
        Name in log lines.
    run
        Runs until the daemon ends.
    """
    return eventlet.spawn(_supervise, name, run)


def repeat(period_s: float, step: Callable[[], None]) -> Callable[[], None]:
    """Return a function that runs ``step`` each ``period_s`` seconds."""

    def run() -> None:  # noqa: WPS430
        while True:
            step()
            eventlet.sleep(period_s)

    return run


def _supervise(name: str, run: Callable[[], None]) -> None:
    while True:
        try:
            run()
        except Exception:
            logger.exception('task {} failed', name)
        eventlet.sleep(_RESTART_DELAY_S)
