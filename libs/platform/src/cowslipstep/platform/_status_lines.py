"""Check of the status line of a response, RFC 9112 section 4.

A line feed without a carriage return does not end it. The RFC leaves that to
the recipient, and one wrong byte could make it the end of the head.
"""

from __future__ import annotations

import re

from attrs import frozen

# ``int`` would also take signs, underscores and more digits.
_STATUS_LINE = re.compile(
    rb'(HTTP/1\.[0-9]) ([1-5][0-9]{2})(?: ([\t\x20-\x7e\x80-\xff]*))?\r\n'
)
_FIRST_FINAL_STATUS = 200
_SWITCHING_PROTOCOLS = 101


@frozen
class StatusLine:
    """Version, status and reason in a valid status line."""

    version: str
    status: int
    reason: str

    @property
    def is_informational(self) -> bool:
        """Whether another response follows, which is the final one."""
        return self.status < _FIRST_FINAL_STATUS


def parse_status_line(line: bytes) -> StatusLine:
    r"""Parse the status line of a response, with its line end.

    Raises
    ------
    ValueError
        If it is not one of HTTP/1 with a status from 100 to 599, or its
        status is 101: no request asks for another protocol.

    Examples
    --------
    >>> parse_status_line(b'HTTP/1.1 200 OK\r\n').status
    200
    >>> parse_status_line(b'HTTP/1.1 +200 OK\r\n')
    Traceback (most recent call last):
        ...
    ValueError: invalid status line b'HTTP/1.1 +200 OK\r\n'
    """
    matched = _STATUS_LINE.fullmatch(line)
    if matched is None or int(matched[2]) == _SWITCHING_PROTOCOLS:
        raise ValueError(f'invalid status line {line!r}')
    return StatusLine(
        matched[1].decode(),
        int(matched[2]),
        (matched[3] or b'').decode('latin-1'),
    )
