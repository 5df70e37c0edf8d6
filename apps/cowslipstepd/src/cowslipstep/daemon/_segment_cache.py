"""Segments as this daemon wrote them last."""

from __future__ import annotations

import collections

from cowslipstep.daemon._segment_store import ReadSegment

_MAX_SEGMENTS = 256
_MAX_ENTRIES = 256


class SegmentCache:
    """Keeps the small segments that were written most recently.

    A kept segment only saves a read: the write that follows is conditional
    on its version.
    """

    def __init__(self) -> None:
        self._kept: collections.OrderedDict[str, ReadSegment]
        self._kept = collections.OrderedDict()

    def take(self, name: str) -> ReadSegment | None:
        """Return a segment and forget it."""
        return self._kept.pop(name, None)

    def keep(self, segment: ReadSegment) -> None:
        """Keep a segment if it is small."""
        if len(segment.segment.entries) > _MAX_ENTRIES:
            return
        self._kept[segment.name] = segment
        if len(self._kept) > _MAX_SEGMENTS:
            self._kept.popitem(last=False)
