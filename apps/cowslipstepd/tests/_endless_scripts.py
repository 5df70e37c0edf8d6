"""Scripts of runners whose responses have no end."""

from __future__ import annotations

import types

from _scripted_runners import (
    Script,
    Send,
    SendEndlessly,
    chunk,
    response_head,
)

CHUNKED = Send(response_head('Transfer-Encoding: chunked'))
CHUNK_OF_ONE_BYTE = chunk(b'x')
CHUNK_OF_SIXTEEN_BYTES = chunk(b'x' * 16)
HEADER = b'A: b\r\n'
INFORMATIONAL_HEAD = b'HTTP/1.1 100 C\r\n\r\n'
NOTHING = Send(b'')
STATUS_LINE = Send(b'HTTP/1.1 200 OK\r\n')
UNFRAMED = Send(response_head())
TRAILER = Send(b'%b0\r\n' % CHUNKED.sent)
LONG_EXTENSION = b'1;%b\r\nx\r\n' % (b'a' * 60000)
# The start of each response, and what follows it without an end.
ENDLESS = types.MappingProxyType(
    {
        'event': (CHUNKED, CHUNK_OF_SIXTEEN_BYTES),
        'chunks of one byte': (CHUNKED, CHUNK_OF_ONE_BYTE),
        'chunk extension': (CHUNKED, LONG_EXTENSION),
        'trailer': (TRAILER, HEADER),
        'headers': (STATUS_LINE, HEADER),
        'informational heads': (NOTHING, INFORMATIONAL_HEAD),
        'body': (UNFRAMED, CHUNK_OF_ONE_BYTE),
    }
)
MIN_SENT_BYTES = 65536


def endless(name: str) -> Script:
    start, repeated = ENDLESS[name]
    return start, SendEndlessly(repeated * (MIN_SENT_BYTES // len(repeated)))
