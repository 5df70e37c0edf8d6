"""Deletion of ledger segments whose keys have expired."""

from __future__ import annotations

import time
from collections.abc import Iterable

from loguru import logger

from cowslipstep.daemon._segment_store import SegmentStore
from cowslipstep.daemon._state import DaemonState
from cowslipstep.delivery import (
    TIME_SLOT_S,
    expired_time_slots,
    segment_names,
)
from cowslipstep.model import CowslipstepError
from cowslipstep.platform import ObjectMissing

SWEEP_PERIOD_S = TIME_SLOT_S
_RETENTION_ROLE = 'segment-retention'
_LOOKBACK_S = 1800
_MAX_TIME_SLOTS_PER_STEP = 3


class SegmentRetention:
    """Deletes expired segments while this daemon owns the role to do so.

    Each step continues where the last one ended. A new owner begins half an
    hour back and deletes only a few time slots in a step, so that it does
    not use up its budget of platform calls. Segments that expired earlier
    than that and were not deleted stay in the store.

    Parameters
    ----------
    state
        State of the daemon.
    store
        Reads and deletes segments.
    """

    def __init__(self, state: DaemonState, store: SegmentStore) -> None:
        self._state = state
        self._store = store
        self._next_slot = 0

    def step(self) -> None:
        """Delete the next time slots that have expired."""
        configuration = self._state.configuration
        if configuration is None or not self._state.owns(_RETENTION_ROLE):
            self._next_slot = 0
            return
        slots = expired_time_slots(
            time.time(),
            configuration.key_retention_s,
            _LOOKBACK_S,
        )
        try:
            self._delete(slots)
        except CowslipstepError as error:
            logger.warning(
                'expired ledger segments not deleted, next step retries: {}',
                error,
            )

    def _delete(self, slots: range) -> None:
        first = max(self._next_slot, slots.start)
        for slot in range(
            first, min(first + _MAX_TIME_SLOTS_PER_STEP, slots.stop)
        ):
            delete_segments(self._store, segment_names(slot))
            self._next_slot = slot + 1


def delete_segments(store: SegmentStore, names: Iterable[str]) -> None:
    """Delete those of the named segments that exist.

    Raises
    ------
    VersionConflict
        If a segment was written after it was read.
    PlatformUnavailable
        If the platform did not respond.
    """
    for name in names:
        segment = store.read(name)
        try:
            store.delete(segment)
        except ObjectMissing:
            logger.debug('segment {} was deleted by another daemon', name)
