"""Figures as they stand on the page."""

from __future__ import annotations

import datetime

from cowslipstep.metrics import DurationHistogram

_PERCENT = 100
_MS_PER_S = 1000


def share_text(share: float | None, of_what: str = '') -> str:
    """Return a share in percent.

    Examples
    --------
    >>> share_text(0.98765, 'of all'), share_text(None)
    ('98.77% of all', 'not measured')
    """
    if share is None:
        return 'not measured'
    percent = share * _PERCENT
    return f'{percent:.2f}% {of_what}'.rstrip()


def duration_text(seconds: float) -> str:
    """Return a duration with a unit that fits it.

    Examples
    --------
    >>> duration_text(0.25), duration_text(90)
    ('250 ms', '90.0 s')
    """
    if seconds < 1:
        milliseconds = round(seconds * _MS_PER_S)
        return f'{milliseconds} ms'
    return f'{seconds:.1f} s'


def quantile_text(durations: DurationHistogram, quantile: float) -> str:
    """Return a quantile of durations, a dash if there are none.

    Examples
    --------
    >>> from cowslipstep.metrics import empty_histogram
    >>> quantile_text(empty_histogram(), 0.5)
    '-'
    """
    if not durations.count:
        return '-'
    return duration_text(durations.quantiles_s([quantile])[0])


def ratio(part: float, whole: float) -> float | None:
    """Return a share, or none of nothing.

    Examples
    --------
    >>> ratio(1, 4), ratio(1, 0)
    (0.25, None)
    """
    return part / whole if whole else None


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
