"""Expiry of status objects, by the day in their names."""

from __future__ import annotations

import contextlib
import time

from cowslipstep.metrics import utc_day
from cowslipstep.platform import ObjectKey, ObjectMissing, PlatformClient

STATUS_KIND = 'status'
_DAY_S = 86400
_DAY_SUFFIX_CHARS = len('2026-12-04')


def is_expired(name: str) -> bool:
    """Return whether the day in the name of a status is before yesterday."""
    yesterday = utc_day(time.time() - _DAY_S)
    return name[-_DAY_SUFFIX_CHARS:] < yesterday


def delete_status(platform: PlatformClient, name: str) -> None:
    """Delete a status object if it exists.

    Raises
    ------
    PlatformUnavailable
        If the platform did not respond.
    """
    key = ObjectKey(STATUS_KIND, name)
    with contextlib.suppress(ObjectMissing):
        platform.delete(key, platform.read(key).version)
