"""Formatting of figures for the report."""

from __future__ import annotations

from cowslipstep.metrics import DurationHistogram

_PERCENT_PER_WHOLE = 100
_MIN_SHOWN_PERCENT = 0.01
_MS_PER_S = 1000
_S_PER_MINUTE = 60
_S_PER_HOUR = 3600
_UNIT_SWITCH_FACTOR = 2


def share_text(share: float | None, of_what: str = '') -> str:
    """Return a share in percent.

    Only exact shares of zero and one become 0% and 100%, so that rounding
    hides no single failure.

    Examples
    --------
    >>> share_text(0.98765, 'of all'), share_text(0.95), share_text(None)
    ('98.77% of all', '95%', 'not measured')
    >>> share_text(0.999999), share_text(0.000001)
    ('99.99%', '0.01%')
    """
    if share is None:
        return 'not measured'
    percent = round(share * _PERCENT_PER_WHOLE, 2)
    if 0 < share < 1:
        percent = max(
            _MIN_SHOWN_PERCENT,
            min(percent, _PERCENT_PER_WHOLE - _MIN_SHOWN_PERCENT),
        )
    text = format(percent, '.6g')
    return f'{text}% {of_what}'.rstrip()


def duration_text(seconds: float) -> str:
    """Return a duration in ms, s, min or h, depending on its length.

    Examples
    --------
    >>> duration_text(0.25), duration_text(1), duration_text(90.25)
    ('250 ms', '1 s', '90.2 s')
    >>> duration_text(720), duration_text(9000)
    ('12 min', '2.5 h')
    """
    if seconds < 1:
        milliseconds = round(seconds * _MS_PER_S)
        return f'{milliseconds} ms'
    if seconds < _S_PER_MINUTE * _UNIT_SWITCH_FACTOR:
        return _unit_text(seconds, 's')
    if seconds < _S_PER_HOUR * _UNIT_SWITCH_FACTOR:
        return _unit_text(seconds / _S_PER_MINUTE, 'min')
    return _unit_text(seconds / _S_PER_HOUR, 'h')


def count_text(count: float) -> str:
    """Return a count with commas between thousands.

    Examples
    --------
    >>> count_text(12345)
    '12,345'
    """
    return format(round(count), ',')


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
    """Return ``part / whole``, or ``None`` if ``whole`` is zero.

    Examples
    --------
    >>> ratio(1, 4), ratio(1, 0)
    (0.25, None)
    """
    return part / whole if whole else None


def _unit_text(amount: float, unit: str) -> str:
    rounded = format(round(amount, 1), 'g')
    return f'{rounded} {unit}'
