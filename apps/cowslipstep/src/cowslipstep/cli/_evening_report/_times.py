"""Formatting of times of day for the report."""

from __future__ import annotations

import datetime


def clock_text(unix_s: float) -> str:
    """Return the time of day in UTC.

    Examples
    --------
    >>> clock_text(3661)
    '01:01:01'
    """
    moment = datetime.datetime.fromtimestamp(unix_s, datetime.UTC)
    return moment.time().isoformat(timespec='seconds')


def slot_text(slot: int, slot_s: int) -> str:
    """Return the time of day at which a slot begins.

    Examples
    --------
    >>> slot_text(13, 300)
    '01:05'
    """
    begin = datetime.datetime.fromtimestamp(slot * slot_s, datetime.UTC)
    return begin.time().isoformat(timespec='minutes')
