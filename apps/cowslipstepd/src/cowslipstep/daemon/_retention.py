"""Deletion of old status objects, by one daemon at a time."""

from __future__ import annotations

import datetime

from loguru import logger

from cowslipstep.daemon._state import DaemonState
from cowslipstep.daemon._status_object import STATUS_KIND
from cowslipstep.model import CowslipstepError
from cowslipstep.routing import rank_owners

RETENTION_PERIOD_S = 21600
_KEPT_DAYS = 2
_ROLE = 'status-retention'
_DAY_CHARS = len('2026-12-04')


def delete_old_statuses(state: DaemonState) -> None:
    """Delete the statuses of days before yesterday, as their soft owner.

    Two owners for a while do the same work twice and no harm. Names end
    with the day, so that no status has to be decoded.
    """
    if rank_owners(_ROLE, state.live_daemons)[0] != state.settings.name:
        return
    try:
        _delete_before(state, _oldest_kept_day())
    except CowslipstepError as error:
        logger.warning('old statuses not deleted: {}', error)


def _delete_before(state: DaemonState, oldest_kept: str) -> None:
    for stored in state.platform.read_all(STATUS_KIND):
        if stored.key.name[-_DAY_CHARS:] < oldest_kept:
            state.platform.delete(stored.key, stored.version)


def _oldest_kept_day() -> str:
    today = datetime.datetime.now(datetime.UTC).date()
    kept = today - datetime.timedelta(days=_KEPT_DAYS - 1)
    return kept.isoformat()
