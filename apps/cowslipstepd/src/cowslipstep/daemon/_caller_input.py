"""Chunked bodies of callers, read as they arrive."""

from __future__ import annotations

import re
from typing import Any

from eventlet import wsgi

# ``int`` would also take signs, prefixes and underscores.
_CHUNK_SIZE = re.compile(b'[0-9a-fA-F]{1,16}')
_HEXADECIMAL = 16


class ChunkedInput(wsgi.Input):
    """A chunked body.

    The base class gathers parts in a list until as many bytes are there as
    were asked for; chunks of a few bytes then take many times their size.

    Parameters
    ----------
    source
        Reader of the connection.
    replaced
        Body as the WSGI server reads it.
    """

    chunk_length: int
    position: int

    def __init__(self, source: Any, replaced: wsgi.Input) -> None:
        super().__init__(
            source,
            None,
            replaced.get_socket(),
            replaced.wfile,
            replaced.wfile_line,
            chunked_input=True,
        )

    def read(self, length: int | None = None) -> bytes:
        """Return the next bytes of a chunk, up to ``length``; none at the end.

        Raises
        ------
        ChunkReadError
            If the size of a chunk is not a hexadecimal number, or the
            connection ends within the body.
        """
        if self.should_send_hundred_continue:
            self.send_hundred_continue_response()
            self.is_hundred_continue_response_sent = True
        if self.chunk_length and self.chunk_length <= self.position:
            self._begin_chunk()
        if not self.chunk_length:
            return b''
        return self._read_within_chunk(length)

    def _read_within_chunk(self, length: int | None) -> bytes:
        left = self.chunk_length - self.position
        part: bytes = self.rfile.read(
            left if length is None else min(left, length)
        )
        if not part:
            raise wsgi.ChunkReadError('the connection ended within a chunk')
        self.position += len(part)
        return part

    def _begin_chunk(self) -> None:
        """Read the end of the last chunk and the size of the next one."""
        if self.chunk_length > 0:
            self.rfile.readline()
        size = self.rfile.readline().partition(b';')[0].strip()
        if not _CHUNK_SIZE.fullmatch(size):
            raise wsgi.ChunkReadError('the size of a chunk is not a number')
        self.chunk_length = int(size, _HEXADECIMAL)
        self.position = 0
        if not self.chunk_length:
            self._discard_trailers(self.rfile)
