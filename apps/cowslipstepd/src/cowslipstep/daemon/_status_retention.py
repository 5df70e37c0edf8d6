"""Deletion of what daemons left behind that are gone, by one at a time."""

from __future__ import annotations

import time

from loguru import logger

from cowslipstep.daemon._expired_statuses import delete_status, is_expired
from cowslipstep.daemon._state import DaemonState
from cowslipstep.daemon._status_index import INDEX_KIND
from cowslipstep.metrics import StatusIndex, decode_index
from cowslipstep.model import CowslipstepError
from cowslipstep.platform import PlatformClient, StoredObject

RETENTION_PERIOD_S = 21600
_ROLE = 'status-retention'


def delete_expired_statuses(state: DaemonState) -> None:
    """Delete the old statuses of daemons that are gone, as soft owner.

    Each daemon deletes its own; the index objects name those of others, so
    that no status has to be read. Two owners for a while do the same work
    twice and no harm.
    """
    if not state.owns(_ROLE):
        return
    try:
        _delete_all_old(state.platform)
    except CowslipstepError as error:
        logger.warning('old statuses not deleted: {}', error)


def _delete_all_old(platform: PlatformClient) -> None:
    for stored in platform.read_all(INDEX_KIND):
        try:
            index = decode_index(stored.body)
        except ExceptionGroup:
            logger.warning('{} cannot be read', stored.key)
        else:
            _delete_if_old(platform, stored, index)


def _delete_if_old(
    platform: PlatformClient,
    stored: StoredObject,
    index: StatusIndex,
) -> None:
    needed = [name for name in index.statuses if not is_expired(name)]
    if needed or index.is_live(time.time()):
        return
    for name in index.statuses:
        delete_status(platform, name)
    platform.delete(stored.key, stored.version)
