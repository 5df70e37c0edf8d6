"""HTTP connections that read each response by the grammar of HTTP/1.1.

The standard library is lenient. It stops at a line that is no field and drops
the fields after it, and takes what does not name a length or chunks for a body
that ends with its connection; it takes signs and underscores in numbers, any
two bytes for the end of a chunk, and an informational status other than 100
for final. A response that was damaged would be read as another one.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from http.client import (
    BadStatusLine,
    HTTPMessage,
    HTTPResponse,
    IncompleteRead,
)
from typing import Any

from urllib3 import HTTPConnectionPool, PoolManager
from urllib3.connection import HTTPConnection

from cowslipstep.platform._body_framing import (
    BodyFraming,
    BodyUntilClose,
    ChunkedBody,
    SizedBody,
    body_framing,
    encode_fields,
    stays_open,
)
from cowslipstep.platform._chunk_lines import parse_chunk_size
from cowslipstep.platform._field_lines import Field
from cowslipstep.platform._line_reader import LineReader
from cowslipstep.platform._malformed import MalformedResponse
from cowslipstep.platform._status_lines import StatusLine, parse_status_line

_MAX_CHUNK_LINE_BYTES = 65536
# Bytes of an invalid status line that an error message shows.
_SHOWN_BYTES = 100
_CHUNK_END = b'\r\n'
# Numbers that the base class has for versions.
_OLD_VERSION = 10
_CURRENT_VERSION = 11
_STATUSES_WITHOUT_BODY = frozenset((204, 304))


class CheckedResponse(HTTPResponse):  # noqa: WPS230 (of the base class)
    """A response that is read by its grammar, RFC 9112.

    Reading it raises ``BadStatusLine`` on a malformed status line, and
    ``MalformedResponse`` on malformed fields, framing, chunks and trailers.
    """

    def begin(self) -> None:
        """Read the head, after the informational responses before it."""
        if self.headers is not None:
            return
        lines = LineReader(self.fp)
        status_line = _final_status_line(lines)
        fields = tuple(lines.fields())
        framing = body_framing(status_line.version, fields)
        is_old = status_line.version == 'HTTP/1.0'
        self.version = _OLD_VERSION if is_old else _CURRENT_VERSION
        self.status = status_line.status
        self.code = self.status
        self.reason = status_line.reason.strip()
        self.headers = _message(fields)
        self.msg = self.headers
        self._frame(framing, fields)

    def _frame(self, framing: BodyFraming, fields: Sequence[Field]) -> None:
        answers_head = self._method == 'HEAD'  # type: ignore[attr-defined]
        if answers_head or self.status in _STATUSES_WITHOUT_BODY:
            framing = SizedBody(0)
        self.will_close = self._check_close()  # type: ignore[attr-defined]
        self.chunked = False
        self.length = None
        match framing:
            case SizedBody(length):
                self.length = length
            case ChunkedBody():
                self.chunked = True
                self.chunk_left = None
            case BodyUntilClose() if stays_open(fields):
                raise MalformedResponse(
                    'a length or chunks on a connection that stays open',
                    encode_fields(fields),
                )
            case BodyUntilClose():
                self.will_close = True

    def _get_chunk_left(self) -> int | None:
        """Return the bytes left of a chunk, ``None`` after the last one.

        The base class calls this before it reads from a chunk.
        """
        if self.chunk_left:
            return self.chunk_left
        if self.chunk_left is not None:
            self._read_chunk_end()
        self.chunk_left = self._read_chunk_size() or None
        if self.chunk_left is None:
            LineReader(self.fp).skip_fields()
            self._close_conn()  # type: ignore[attr-defined]
        return self.chunk_left

    def _read_chunk_size(self) -> int:
        line = self.fp.readline(_MAX_CHUNK_LINE_BYTES)
        if len(line) < _MAX_CHUNK_LINE_BYTES and not line.endswith(b'\n'):
            raise IncompleteRead(line)
        return parse_chunk_size(line)

    def _read_chunk_end(self) -> None:
        end = self.fp.read(len(_CHUNK_END))
        if len(end) < len(_CHUNK_END):
            raise IncompleteRead(end)
        if end != _CHUNK_END:
            raise MalformedResponse('the end of a chunk', end)


class CheckedConnection(HTTPConnection):
    """A connection whose responses are read by their grammar."""

    response_class = CheckedResponse


class CheckedPool(HTTPConnectionPool):
    """Connections to one server that read responses by their grammar."""

    ConnectionCls = CheckedConnection  # noqa: WPS115


class CheckedPools(PoolManager):
    """Connections to servers that read responses by their grammar."""

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        self.pool_classes_by_scheme = {'http': CheckedPool}


def _final_status_line(lines: LineReader) -> StatusLine:
    status_line = _next_status_line(lines)
    while status_line.is_informational:
        lines.skip_fields()
        status_line = _next_status_line(lines)
    return status_line


def _next_status_line(lines: LineReader) -> StatusLine:
    line = lines.next_line()
    try:
        return parse_status_line(line)
    except ValueError as error:
        raise BadStatusLine(repr(line[:_SHOWN_BYTES])) from error


def _message(fields: Iterable[Field]) -> HTTPMessage:
    message = HTTPMessage()
    for name, text in fields:
        message[name] = text
    return message
