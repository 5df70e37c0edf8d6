"""Limits on the time of a call as a whole."""

from __future__ import annotations

import contextlib

import eventlet


def call_time_limit(
    limit_s: float,
) -> contextlib.AbstractContextManager[object]:
    """Return a context that raises ``TimeoutError`` after that many seconds.

    A timeout of the socket limits each wait alone: a peer that sends a byte
    now and then never reaches it.
    """
    return eventlet.Timeout(
        limit_s, TimeoutError(f'the call goes on after {limit_s} s')
    )
