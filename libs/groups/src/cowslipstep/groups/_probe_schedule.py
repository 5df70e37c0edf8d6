"""Delays between the probes of a host."""

from __future__ import annotations

from cowslipstep.groups._host_records import MISSED_PROBES_TO_FAIL, HostRecord

_BACKOFF_BASE_S = 0.25
_MAX_BACKOFF_S = 8
_MAX_BACKOFF_DOUBLINGS = 5
_WAKE_UP_PERIOD_S = 0.1


def probe_delay_s(record: HostRecord, period_s: float) -> float:
    """Return the seconds until the next probe of a host.

    Hosts that have failed are probed with exponential backoff.

    Examples
    --------
    >>> probe_delay_s(HostRecord(misses=20), 0.5)
    8.0
    """
    if not record.misses:
        return period_s
    misses_since_failure = max(0, record.misses - MISSED_PROBES_TO_FAIL)
    doublings = min(misses_since_failure, _MAX_BACKOFF_DOUBLINGS)
    return min(_BACKOFF_BASE_S * 2**doublings, _MAX_BACKOFF_S)


def align_delay_s(now_s: float, delay_s: float) -> float:
    """Shorten a delay so that it ends at a multiple of the wake-up period.

    Probes that are due at about the same time then share one wake-up of the
    process; a wake-up costs more than a probe.

    Examples
    --------
    >>> round(align_delay_s(7.04, 0.47), 3)
    0.46
    >>> align_delay_s(7.0, 0.05)
    0.05
    """
    if delay_s <= _WAKE_UP_PERIOD_S:
        return delay_s
    return delay_s - (now_s + delay_s) % _WAKE_UP_PERIOD_S
