"""Whole server-sent events out of pieces, without decoding their data."""

from __future__ import annotations

from attrs import define

_EVENT_END = b'\n\n'
_END_EVENT = b'data: [DONE]\n\n'
_ID = b'id: '
_LINE_ID = b'\nid: '
_LINE_END = b'\n'


@define
class StreamProgress:
    """What was passed on of a stream of server-sent events.

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
    _partial_event: bytes = b''

    def add_chunk(self, piece: bytes) -> bytes:
        r"""Add a piece and return the whole events that are complete now.

        Examples
        --------
        >>> progress = StreamProgress()
        >>> progress.add_chunk(b'id: 0\ndata: {}\n\nid: 1')
        b'id: 0\ndata: {}\n\n'
        >>> progress.last_id, progress.tokens
        (b'0', 1)
        """
        joined = self._partial_event + piece
        end = joined.rfind(_EVENT_END) + len(_EVENT_END)
        if end < len(_EVENT_END):
            self._partial_event = joined
            return b''
        whole = joined[:end]
        self._partial_event = joined[end:]
        self._note(whole)
        return whole

    @property
    def has_partial_event(self) -> bool:
        """Whether the bytes so far end within an event."""
        return bool(self._partial_event)

    def drop_partial_event(self) -> None:
        """Forget the event that was cut, before the stream is resumed."""
        self._partial_event = b''

    def _note(self, whole: bytes) -> None:
        self.tokens += whole.count(_LINE_ID) + whole.startswith(_ID)
        self.last_id = _last_id(whole) or self.last_id
        if not self.first_id:
            self.first_id = first_id(whole)
        self.ended = whole.endswith(_END_EVENT)


def first_id(whole: bytes) -> bytes:
    r"""Return the id of the first event that has one; empty for none.

    Examples
    --------
    >>> first_id(b'id: 7\ndata: a\n\nid: 8\ndata: b\n\n')
    b'7'
    """
    at = 0 if whole.startswith(_ID) else whole.find(_LINE_ID) + 1
    if at == 0 and not whole.startswith(_ID):
        return b''
    return _line(whole, at)


def _last_id(whole: bytes) -> bytes:
    at = whole.rfind(_LINE_ID) + 1
    if at == 0 and not whole.startswith(_ID):
        return b''
    return _line(whole, at)


def _line(whole: bytes, at: int) -> bytes:
    end = whole.index(_LINE_END, at)
    return whole[at + len(_ID) : end]
