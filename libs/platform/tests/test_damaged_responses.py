"""A response with one changed byte is read as the RFC reads it, or refused.

The reading to compare with is that of one expression for a whole head, and of
the lengths and sizes as they are written.
"""

from __future__ import annotations

import io
import re
from http.client import HTTPException
from types import SimpleNamespace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cowslipstep.platform import CheckedResponse

OLD = b'HTTP/1.0'
TOKEN = rb"[\w!#$%&'*+.^`|~-]+"
VISIBLE = rb'[\t -~\x80-\xff]*'
HEAD = re.compile(
    rb'HTTP/1\.[0-9] [2-5][0-9]{2}( %b)?\r\n(?:%b:%b\r\n)*\r\n'
    % (VISIBLE, TOKEN, VISIBLE)
)
LENGTH = re.compile(rb'\ncontent-length:[\t ]*([0-9]+)[\t ]*\r', re.IGNORECASE)
CHUNKED = re.compile(rb'\ntransfer-encoding:[\t ]*chunked[\t ]*\r', re.I)
FRAMING = re.compile(rb'\n(content-length|transfer-encoding):', re.IGNORECASE)
CHUNK = re.compile(rb'([0-9a-fA-F]+)(;[^\r\n]*)?\r\n')
TRAILERS = re.compile(rb'(?:%b:%b\r\n)*\r\n' % (TOKEN, VISIBLE))
SENT = (
    b'HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Length: 12\r\n'
    b'Content-Type: text/plain\r\n\r\ntwelve bytes'
)
BODIES = st.binary(min_size=1, max_size=60)
PLACES = st.integers(0, 10**6)
NAMES = st.text("abcXYZ019!#$%&'*+-.^_`|~", min_size=1, max_size=8)
TEXTS = st.text('az09 \t:;,"=\x80\xff', max_size=12)
EXTRA_FIELDS = st.lists(
    st.builds(
        lambda name, text: f'X{name}:{text}\r\n'.encode('latin-1'),
        NAMES,
        TEXTS,
    ),
    max_size=4,
)
STATUS_LINES = st.sampled_from(
    [
        b'HTTP/1.1 200 OK\r\n',
        b'HTTP/1.1 200 \r\n',
        b'HTTP/1.1 200\r\n',
        b'HTTP/1.1 404 Not Found\r\n',
    ]
)


def framed_in_chunks(parts: list[bytes]) -> bytes:
    """Return a chunked body with a trailer."""
    chunks = (b'%x;a="b"\r\n%b\r\n' % (len(part), part) for part in parts)
    return b'%b0\r\nX: y\r\n\r\n' % b''.join(chunks)


def framings(parts: list[bytes]) -> st.SearchStrategy[tuple[bytes, bytes]]:
    """Return framing fields, each with the bytes of a body after the head."""
    body = b''.join(parts)
    return st.sampled_from(
        [
            (b'', body),
            (b'Content-Length: %d\r\n' % len(body), body),
            (b'CONTENT-LENGTH:00%d\t\r\n' % len(body), body),
            (b'Transfer-Encoding: chunked\r\n', framed_in_chunks(parts)),
            (b'transfer-encoding:Chunked \r\n', framed_in_chunks(parts)),
        ]
    )


@st.composite
def sent_responses(draw: st.DrawFn) -> tuple[bytes, bytes]:
    """Draw a legal response and its body."""
    parts = draw(st.lists(BODIES, min_size=1, max_size=3))
    framing, framed = draw(framings(parts))
    fields = draw(EXTRA_FIELDS)
    fields.insert(draw(st.integers(0, len(fields))), framing)
    lines = draw(STATUS_LINES) + b''.join(fields)
    return b'%b\r\n%b' % (lines, framed), b''.join(parts)


def with_byte(sent: bytes, place: int, byte: int) -> bytes:
    """Return a response with another byte in one place."""
    damaged = bytearray(sent)
    damaged[place] = byte
    return bytes(damaged)


def read(sent: bytes) -> bytes | None:
    """Return the body of a response, ``None`` if it is refused."""
    sock = SimpleNamespace(makefile=lambda _mode: io.BytesIO(sent))
    response = CheckedResponse(sock, method='GET')
    try:
        response.begin()
    except (HTTPException, OSError):
        return None
    # In parts, as the daemon reads it.
    try:
        body = b''.join(iter(lambda: response.read1(7), b''))
    except (HTTPException, OSError):
        return None
    return None if response.length else body


def body_by_rfc(sent: bytes) -> bytes | None:
    """Return the body as the grammar reads it, ``None`` if there is none."""
    head = HEAD.match(sent)
    if head is None:
        return None
    framed = sent[head.end() :]
    length = LENGTH.search(head[0])
    match len(FRAMING.findall(head[0])):
        case 0:
            return framed
        case 1 if length:
            size = int(length[1])
            return framed[:size] if len(framed) >= size else None
        case 1 if CHUNKED.search(head[0]) and not sent.startswith(OLD):
            return _unchunked(framed)
    return None


def _unchunked(framed: bytes) -> bytes | None:
    body = b''
    while chunk := CHUNK.match(framed):
        size = int(chunk[1], 16)
        framed = framed[chunk.end() :]
        if not size:
            return body if TRAILERS.match(framed) else None
        if framed[size : size + 2] != b'\r\n':
            return None
        body += framed[:size]
        framed = framed[size + 2 :]
    return None


@settings(max_examples=400, deadline=None, derandomize=True)
@given(sent_responses())
def test_legal_response_is_read_whole(response: tuple[bytes, bytes]) -> None:
    sent, body = response
    assert read(sent) == body
    assert body_by_rfc(sent) == body


@settings(max_examples=1500, deadline=None, derandomize=True)
@given(sent_responses(), PLACES, st.integers(0, 255))
def test_changed_byte_gives_no_other_body(
    response: tuple[bytes, bytes], place: int, byte: int
) -> None:
    sent, _ = response
    damaged = with_byte(sent, place % len(sent), byte)
    assert read(damaged) in {None, body_by_rfc(damaged)}


@pytest.mark.parametrize('byte', b'\n\r\x00 :0')
def test_any_place_of_a_head_may_change(byte: int) -> None:
    for place, _ in enumerate(SENT):
        damaged = with_byte(SENT, place, byte)
        assert read(damaged) in {None, body_by_rfc(damaged)}
