"""Gives up pending watch calls that may never get a response."""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterator
from typing import Any

import eventlet

from cowslipstep.platform import WatchDoubt, WatchGivenUp

_POLL_PERIOD_S = 0.2


@contextlib.contextmanager
def given_up_in_doubt(doubt: Callable[[], WatchDoubt | None]) -> Iterator[None]:
    """Raise ``WatchGivenUp`` in the block once there is a doubt of its call.

    Parameters
    ----------
    doubt
        Returns why the call may never get a response, if it may not.

    Raises
    ------
    WatchGivenUp
        If there is a doubt before the block ends.
    """
    checks = eventlet.spawn(_check, doubt, eventlet.getcurrent())
    try:
        yield
    finally:
        checks.kill()


def _check(doubt: Callable[[], WatchDoubt | None], waiting: Any) -> None:
    reason = doubt()
    while reason is None:
        eventlet.sleep(_POLL_PERIOD_S)
        reason = doubt()
    eventlet.kill(waiting, WatchGivenUp(reason))
