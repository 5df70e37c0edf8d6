"""Cache of the segments that this daemon wrote last."""

from __future__ import annotations

import collections

from cowslipstep.daemon._segment_store import VersionedSegment

_MAX_CACHED_SEGMENTS = 256
_MAX_CACHED_SEGMENT_ENTRIES = 256


class SegmentCache:
    """Holds the small segments that were written most recently.

    A cached segment may be outdated. That is safe, because it only saves the
    read before a write, and the write is conditional on its version.
    """

    def __init__(self) -> None:
        self._segments: collections.OrderedDict[str, VersionedSegment]
        self._segments = collections.OrderedDict()

    def pop(self, name: str) -> VersionedSegment | None:
        """Remove a segment from the cache and return it, if it is there."""
        return self._segments.pop(name, None)

    def add(self, segment: VersionedSegment) -> None:
        """Cache a segment unless it has too many entries."""
        if len(segment.segment.entries) > _MAX_CACHED_SEGMENT_ENTRIES:
            return
        self._segments[segment.name] = segment
        if len(self._segments) > _MAX_CACHED_SEGMENTS:
            self._segments.popitem(last=False)
