"""HTTP connections that check the status line of each response.

The standard library takes any number from 100 to 999, with signs, underscores
and further digits, and an informational status other than 100 for final.
"""

from __future__ import annotations

from http.client import (
    BadStatusLine,
    HTTPResponse,
    LineTooLong,
    RemoteDisconnected,
)

from urllib3 import HTTPConnectionPool
from urllib3.connection import HTTPConnection

from cowslipstep.platform._status_lines import StatusLine, parse_status_line

_MAX_LINE_BYTES = 65536
# Informational responses before the final one, together.
_MAX_INFORMATIONAL_BYTES = 131072
# Bytes of an invalid status line that an error message shows.
_SHOWN_BYTES = 100
_HEAD_ENDS = frozenset((b'\r\n', b'\n'))


class CheckedResponse(HTTPResponse):
    """A response with a valid final status.

    Reading it raises ``BadStatusLine`` on any other status line.
    """

    def _read_status(self) -> tuple[str, int, str]:
        """Read status lines up to the final one; the base class calls this."""
        informational_bytes = 0
        while True:
            status_line = self._next_status_line()
            if not status_line.is_informational:
                return (
                    status_line.version,
                    status_line.status,
                    status_line.reason,
                )
            informational_bytes += self._skip_headers()
            if informational_bytes > _MAX_INFORMATIONAL_BYTES:
                raise BadStatusLine('informational responses without an end')

    def _next_status_line(self) -> StatusLine:
        line = self._read_line()
        try:
            return parse_status_line(line)
        except ValueError as error:
            raise BadStatusLine(repr(line[:_SHOWN_BYTES])) from error

    def _skip_headers(self) -> int:
        """Read the rest of a head; return its bytes with the status line."""
        skipped_bytes = 1
        line = b''
        while line not in _HEAD_ENDS:
            line = self._read_line()
            skipped_bytes += len(line)
            if skipped_bytes > _MAX_INFORMATIONAL_BYTES:
                break
        return skipped_bytes

    def _read_line(self) -> bytes:
        line = self.fp.readline(_MAX_LINE_BYTES + 1)
        if not line:
            raise RemoteDisconnected('connection closed without a response')
        if len(line) > _MAX_LINE_BYTES:
            raise LineTooLong('status line')
        return line


class CheckedConnection(HTTPConnection):
    """A connection whose responses have a valid final status."""

    response_class = CheckedResponse


class CheckedPool(HTTPConnectionPool):
    """Connections to one server whose responses have a valid final status."""

    ConnectionCls = CheckedConnection  # noqa: WPS115
