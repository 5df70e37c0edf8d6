"""Lines of heads and trailers, read up to a number of bytes and of fields."""

from __future__ import annotations

import collections
from collections.abc import Iterator
from http.client import RemoteDisconnected
from typing import BinaryIO

from cowslipstep.platform._field_lines import Field, parse_field_line
from cowslipstep.platform._malformed import MalformedResponse

# Informational responses before the final head included.
_MAX_BYTES = 131072
_MAX_FIELDS = 100
_EMPTY_LINE = b'\r\n'


class LineReader:
    """Reads the lines of one head, or of one section of trailers.

    Parameters
    ----------
    stream
        Where they come from.
    """

    def __init__(self, stream: BinaryIO) -> None:
        self._stream = stream
        self._bytes_left = _MAX_BYTES

    def next_line(self) -> bytes:
        """Return the next line with its end.

        Raises
        ------
        RemoteDisconnected
            If the connection ends before.
        MalformedResponse
            If all lines together have more bytes than they may.
        """
        line = self._stream.readline(self._bytes_left + 1)
        self._bytes_left -= len(line)
        if self._bytes_left < 0:
            raise MalformedResponse(f'at most {_MAX_BYTES} bytes', line)
        if not line.endswith(b'\n'):
            raise RemoteDisconnected('connection closed within a response')
        return line

    def fields(self) -> Iterator[Field]:
        """Yield the fields up to the empty line after them.

        Raises
        ------
        MalformedResponse
            If a line is no field line, or there are too many.
        RemoteDisconnected
            If the connection ends before.
        """
        line = self.next_line()
        for _ in range(_MAX_FIELDS):
            if line == _EMPTY_LINE:
                return
            yield parse_field_line(line)
            line = self.next_line()
        if line != _EMPTY_LINE:
            raise MalformedResponse(f'at most {_MAX_FIELDS} fields', line)

    def skip_fields(self) -> None:
        """Check the fields up to the empty line after them, and discard them.

        Raises
        ------
        MalformedResponse
            If a line is no field line, or there are too many.
        RemoteDisconnected
            If the connection ends before.
        """
        collections.deque(self.fields(), maxlen=0)
