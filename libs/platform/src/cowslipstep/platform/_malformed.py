"""Error for bytes that do not match the grammar of HTTP/1.1."""

from __future__ import annotations

from http.client import HTTPException

# Bytes that an error message shows.
_SHOWN_BYTES = 100


class MalformedResponse(HTTPException):
    r"""Bytes of a response that its grammar does not allow.

    Parameters
    ----------
    expected
        What the grammar asks for in their place.
    received
        The bytes; the message shows the first ones, escaped.

    Examples
    --------
    >>> str(MalformedResponse('a field line', b'no\x00field\r\n'))
    "expected a field line, got b'no\\x00field\\r\\n'"
    """

    def __init__(self, expected: str, received: bytes) -> None:
        shown = received[:_SHOWN_BYTES]
        super().__init__(f'expected {expected}, got {shown!r}')
