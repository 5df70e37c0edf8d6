"""Storage of the ledger of orders: segments as platform objects."""

from __future__ import annotations

from attrs import frozen

from cowslipstep.daemon._segment_codec import decode_segment, encode_segment
from cowslipstep.delivery import Segment
from cowslipstep.platform import ObjectKey, ObjectMissing, PlatformClient

_SEGMENT_KIND = 'orders'


@frozen
class VersionedSegment:
    """A segment with the version of its object.

    ``version`` is ``None`` if the object does not exist yet.
    """

    name: str
    segment: Segment
    version: int | None


class SegmentStore:
    """Reads segments and writes them conditionally on their version.

    Parameters
    ----------
    platform
        Client of the platform.
    """

    def __init__(self, platform: PlatformClient) -> None:
        self._platform = platform

    @property
    def last_response_at_s(self) -> float:
        """Time of the platform's last response, on the monotonic clock."""
        return self._platform.last_response_at_s

    def read(self, name: str) -> VersionedSegment:
        """Read a segment; it is empty if the object does not exist.

        Raises
        ------
        PlatformUnavailable
            If the platform did not respond.
        """
        try:
            stored = self._platform.read(ObjectKey(_SEGMENT_KIND, name))
        except ObjectMissing:
            return VersionedSegment(name, Segment(), None)
        return VersionedSegment(
            name, decode_segment(stored.body), stored.version
        )

    def write(
        self,
        known: VersionedSegment,
        changed: Segment,
    ) -> VersionedSegment:
        """Replace a segment and return it with its new version.

        Raises
        ------
        VersionConflict
            If the segment no longer has the version of ``known``.
        ObjectMissing
            If the segment was deleted.
        PlatformUnavailable
            If the platform did not respond; the verdict of the error says
            whether the segment may have been replaced.
        """
        key = ObjectKey(_SEGMENT_KIND, known.name)
        body = encode_segment(changed)
        if known.version is None:
            version = self._platform.create(key, body)
        else:
            version = self._platform.update(key, known.version, body)
        return VersionedSegment(known.name, changed, version)

    def delete(self, known: VersionedSegment) -> None:
        """Delete a segment if it exists.

        Raises
        ------
        VersionConflict
            If the segment no longer has the version of ``known``.
        ObjectMissing
            If the segment was deleted since ``known`` was read.
        PlatformUnavailable
            If the platform did not respond.
        """
        if known.version is not None:
            key = ObjectKey(_SEGMENT_KIND, known.name)
            self._platform.delete(key, known.version)
