"""Segments of the order ledger as platform objects."""

from __future__ import annotations

from attrs import frozen

from cowslipstep.daemon._segment_codec import decode_segment, encode_segment
from cowslipstep.delivery import Segment
from cowslipstep.platform import ObjectKey, ObjectMissing, PlatformClient

_SEGMENT_KIND = 'orders'


@frozen
class ReadSegment:
    """A segment as read; without a version there is no object yet."""

    name: str
    segment: Segment
    version: int | None


class SegmentStore:
    """Reads and conditionally writes segments.

    Parameters
    ----------
    platform
        Client of the platform.
    """

    def __init__(self, platform: PlatformClient) -> None:
        self._platform = platform

    @property
    def answered_at_s(self) -> float:
        """Monotonic clock reading of the platform's last answer."""
        return self._platform.answered_at_s

    def read(self, name: str) -> ReadSegment:
        """Read a segment, an empty one if there is none.

        Raises
        ------
        PlatformUnavailable
            If there was no answer.
        """
        try:
            stored = self._platform.read(ObjectKey(_SEGMENT_KIND, name))
        except ObjectMissing:
            return ReadSegment(name, Segment(), None)
        return ReadSegment(name, decode_segment(stored.body), stored.version)

    def write(self, known: ReadSegment, changed: Segment) -> ReadSegment:
        """Replace a segment that nobody else wrote since it was read.

        Returns it as it is now.

        Raises
        ------
        VersionConflict
            If somebody did.
        ObjectMissing
            If it was deleted since.
        PlatformUnavailable
            If there was no answer; its verdict says whether the change may
            have taken effect.
        """
        key = ObjectKey(_SEGMENT_KIND, known.name)
        body = encode_segment(changed)
        if known.version is None:
            version = self._platform.create(key, body)
        else:
            version = self._platform.update(key, known.version, body)
        return ReadSegment(known.name, changed, version)

    def delete(self, known: ReadSegment) -> None:
        """Delete a segment that nobody else wrote since it was read.

        Raises
        ------
        VersionConflict
            If somebody did.
        ObjectMissing
            If it is gone already.
        PlatformUnavailable
            If there was no answer.
        """
        if known.version is not None:
            key = ObjectKey(_SEGMENT_KIND, known.name)
            self._platform.delete(key, known.version)
