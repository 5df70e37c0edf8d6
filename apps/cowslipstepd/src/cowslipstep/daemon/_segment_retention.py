"""Deletion of ledger segments whose keys are past the retention."""

from __future__ import annotations

import time
from collections.abc import Iterable

from loguru import logger

from cowslipstep.daemon._segment_store import SegmentStore
from cowslipstep.daemon._state import DaemonState
from cowslipstep.delivery import TIME_SLOT_S, expired_time_slots, segment_names
from cowslipstep.model import CowslipstepError
from cowslipstep.platform import ObjectMissing

SWEEP_PERIOD_S = TIME_SLOT_S
_ROLE = 'segment-retention'
_SWEEP_S = 1800
_SLOTS_PER_STEP = 3


class SegmentRetention:
    """Deletes expired segments, as long as this daemon is the soft owner.

    Each step goes on where the last one ended, and looks half an hour back
    when this daemon becomes the owner. A step takes few slots, so that a new
    owner does not use up its budget of calls.

    Parameters
    ----------
    state
        State of the daemon.
    store
        Holds the segments.
    """

    def __init__(self, state: DaemonState, store: SegmentStore) -> None:
        self._state = state
        self._store = store
        self._next_slot = 0

    def step(self) -> None:
        """Delete what has expired since the last step."""
        configuration = self._state.configuration
        if configuration is None or not self._state.owns(_ROLE):
            self._next_slot = 0
            return
        slots = expired_time_slots(
            time.time(),
            configuration.key_retention_s,
            _SWEEP_S,
        )
        try:
            self._sweep(slots)
        except CowslipstepError as error:
            logger.warning('old segments not deleted: {}', error)

    def _sweep(self, slots: range) -> None:
        first = max(self._next_slot, slots.start)
        for slot in range(first, min(first + _SLOTS_PER_STEP, slots.stop)):
            delete_segments(self._store, segment_names(slot))
            self._next_slot = slot + 1


def delete_segments(store: SegmentStore, names: Iterable[str]) -> None:
    """Delete segments that exist.

    Raises
    ------
    VersionConflict
        If a segment was written meanwhile.
    PlatformUnavailable
        If there was no answer.
    """
    for name in names:
        known = store.read(name)
        try:
            store.delete(known)
        except ObjectMissing:
            logger.debug('segment {} is gone already', name)
