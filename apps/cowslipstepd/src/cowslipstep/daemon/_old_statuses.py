"""Age of status objects, from their names, and their deletion."""

from __future__ import annotations

import contextlib
import time

from cowslipstep.metrics import utc_day
from cowslipstep.platform import ObjectKey, ObjectMissing, PlatformClient

STATUS_KIND = 'status'
_DAY_S = 86400
_DAY_CHARS = len('2026-12-04')


def is_old(name: str) -> bool:
    """Whether a status is of a day before yesterday, by its name."""
    yesterday = utc_day(time.time() - _DAY_S)
    return name[-_DAY_CHARS:] < yesterday


def delete_status(platform: PlatformClient, name: str) -> None:
    """Delete a status object, if there is one.

    Raises
    ------
    PlatformUnavailable
        If there was no answer.
    """
    key = ObjectKey(STATUS_KIND, name)
    with contextlib.suppress(ObjectMissing):
        platform.delete(key, platform.read(key).version)
