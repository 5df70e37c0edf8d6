"""Tasks that are restarted after a failure, and periodic tasks."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import eventlet
from loguru import logger

_RESTART_DELAY_S = 1


def start_task(name: str, run: Callable[[], None]) -> Any:
    """Start a task that is run again whenever it ends.

    A failure is logged with its traceback.

    Parameters
    ----------
    name
        Name of the task in log lines.
    run
        Work of the task; it should not return.
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
            logger.exception('task {} failed and is restarted', name)
        eventlet.sleep(_RESTART_DELAY_S)
