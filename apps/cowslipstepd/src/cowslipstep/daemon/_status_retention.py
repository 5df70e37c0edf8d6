"""Deletion of the expired status objects of daemons that are gone."""

from __future__ import annotations

import time

from loguru import logger

from cowslipstep.daemon._expired_statuses import delete_status, is_expired
from cowslipstep.daemon._state import DaemonState
from cowslipstep.daemon._status_index import INDEX_KIND
from cowslipstep.metrics import StatusIndex, decode_index
from cowslipstep.model import CowslipstepError
from cowslipstep.platform import PlatformClient, StoredObject

STATUS_RETENTION_PERIOD_S = 21600
_ROLE = 'status-retention'


def delete_expired_statuses(state: DaemonState) -> None:
    """Delete expired statuses of daemons that are gone.

    Only the soft owner of this role does so; running daemons delete their own
    statuses. The index objects list the statuses, so that none has to be read.
    Two owners at the same time do the same work twice, without harm.
    """
    if not state.owns(_ROLE):
        return
    try:
        _delete_all_expired(state.platform)
    except CowslipstepError as error:
        logger.warning(
            'expired statuses not deleted, trying again in the next period: {}',
            error,
        )


def _delete_all_expired(platform: PlatformClient) -> None:
    for stored in platform.read_all(INDEX_KIND):
        try:
            index = decode_index(stored.body)
        except ExceptionGroup:
            logger.warning(
                'index {} cannot be decoded, its statuses are not deleted',
                stored.key,
            )
        else:
            _delete_if_expired(platform, stored, index)


def _delete_if_expired(
    platform: PlatformClient,
    stored: StoredObject,
    index: StatusIndex,
) -> None:
    retained = [name for name in index.statuses if not is_expired(name)]
    if retained or index.is_live(time.time()):
        return
    for name in index.statuses:
        delete_status(platform, name)
    platform.delete(stored.key, stored.version)
