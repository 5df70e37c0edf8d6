"""Splits a stream into whole server-sent events; data is not decoded."""

from __future__ import annotations

from attrs import define, evolve, field

_EVENT_SEPARATOR = b'\n\n'
_END_EVENT = b'data: [DONE]\n\n'
_ID_FIELD = b'id: '
_ID_ON_NEW_LINE = b'\nid: '
_LINE_END = b'\n'


@define
class StreamProgress:
    """The part of a stream of server-sent events that was passed on.

    Attributes
    ----------
    tokens
        Number of events with an id.
    last_id
        Id of the last event passed on; empty before the first.
    first_id
        Id of the first event passed on.
    ended
        Whether the end event was passed on.
    """

    tokens: int = 0
    last_id: bytes = b''
    first_id: bytes = b''
    ended: bool = False
    _partial_event: bytearray = field(factory=bytearray)

    def add_chunk(self, chunk: bytes) -> bytes:
        r"""Add a chunk of the stream and return the events that it completes.

        Examples
        --------
        >>> progress = StreamProgress()
        >>> progress.add_chunk(b'id: 0\ndata: {}\n\nid: 1')
        b'id: 0\ndata: {}\n\n'
        >>> progress.last_id, progress.tokens
        (b'0', 1)
        """
        partial = self._partial_event
        # What was searched before is not searched again: an event may come in
        # many small chunks.
        search_from = max(0, len(partial) - len(_EVENT_SEPARATOR) + 1)
        partial += chunk
        separator_at = partial.rfind(_EVENT_SEPARATOR, search_from)
        if separator_at < 0:
            return b''
        end = separator_at + len(_EVENT_SEPARATOR)
        events = bytes(partial[:end])
        del partial[:end]  # noqa: WPS420
        self._record_events(events)
        return events

    @property
    def has_partial_event(self) -> bool:
        """Whether the chunks so far end within an event."""
        return bool(self._partial_event)

    @property
    def partial_event_bytes(self) -> int:
        """Size of the incomplete last event."""
        return len(self._partial_event)

    def is_restarted_by(self, events: bytes) -> bool:
        r"""Return whether the events of a resumption repeat this part.

        Examples
        --------
        >>> progress = StreamProgress(last_id=b'1', first_id=b'0')
        >>> progress.is_restarted_by(b'id: 0\ndata: {}\n\n')
        True
        >>> progress.is_restarted_by(b'id: 2\ndata: {}\n\n')
        False
        """
        return bool(self.last_id) and first_id(events) in {
            self.first_id,
            self.last_id,
        }

    def resumed(self) -> StreamProgress:
        """Return the progress of a stream that is resumed after this part."""
        progress = evolve(self)
        progress.drop_partial_event()
        return progress

    def drop_partial_event(self) -> None:
        """Drop the incomplete last event before the stream is resumed."""
        self._partial_event = bytearray()

    def _record_events(self, events: bytes) -> None:
        self.tokens += events.count(_ID_ON_NEW_LINE) + events.startswith(
            _ID_FIELD
        )
        self.last_id = _last_id(events) or self.last_id
        if not self.first_id:
            self.first_id = first_id(events)
        self.ended = events.endswith(_END_EVENT)


def first_id(events: bytes) -> bytes:
    r"""Return the id of the first event that has one; empty if none has.

    Examples
    --------
    >>> first_id(b'id: 7\ndata: a\n\nid: 8\ndata: b\n\n')
    b'7'
    """
    start = (
        0 if events.startswith(_ID_FIELD) else events.find(_ID_ON_NEW_LINE) + 1
    )
    if start == 0 and not events.startswith(_ID_FIELD):
        return b''
    return _id_at(events, start)


def _last_id(events: bytes) -> bytes:
    start = events.rfind(_ID_ON_NEW_LINE) + 1
    if start == 0 and not events.startswith(_ID_FIELD):
        return b''
    return _id_at(events, start)


def _id_at(events: bytes, start: int) -> bytes:
    end = events.index(_LINE_END, start)
    return events[start + len(_ID_FIELD) : end]
