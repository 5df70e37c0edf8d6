"""A chunked body is read by its grammar, RFC 9112 section 7.1.

The HTTP library takes ``+4``, ``0x4`` and ``4_0`` for sizes, any two bytes for
the end of a chunk, any lines for trailers, and the end of the connection for
the end of the trailers.
"""

from __future__ import annotations

import pytest
from _green_processes import in_green_process
from _response_paths import BODY, COMPLETE, PATHS, passed_on, seen_of_responses

RESPONSE = (
    b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nSignature: s\r\n\r\n%b'
)
SIZE = b'%x' % len(BODY)
NO_SIZES = (
    b'',
    b'g',
    b'-%(size)b',
    b'+%(size)b',
    b'0x%(size)b',
    b' %(size)b',
    b'%(size)b ',
    b'0_%(size)b',
    b'%(size)b, x',
    b'%(size)b;',
    b'%(size)b;=x',
    b'%(size)b;x=',
    b'%(size)b;x="y',
    b'%(size)b;x y',
    b'%(size)b;x=\x00',
    b'%(size)b;x=y\r',
    b'%(size)bf',
    b'ffffffffffffffff',
)
MALFORMED = (
    *(b'%b\r\n%%(body)b\r\n0\r\n\r\n' % size for size in NO_SIZES),
    b'%(size)b\n%(body)b\r\n0\r\n\r\n',
    b'%(size)b\r\n%(body)bXX0\r\n\r\n',
    b'%(size)b\r\n%(body)b\n0\r\n\r\n',
    b'%(size)b\r\n%(body)b\n\n0\r\n\r\n',
    b'%(size)b\r\n%(body)b\r 0\r\n\r\n',
    b'%(size)b\r\n%(body)b0\r\n\r\n',
    b'%(chunk)b',
    b'%(chunk)b0',
    b'%(chunk)b0\r\n',
    b'%(chunk)b0\r\n\n',
    b'%(chunk)b0\r\nX: y\r\n',
    b'%(chunk)b0\r\nX',
    b'%(chunk)b0\r\nno field\r\n\r\n',
    b'%(chunk)b0\r\nX Y: z\r\n\r\n',
    b'%(chunk)b0\r\nX: y\x00\r\n\r\n',
    b'%(chunk)b0\r\nX: y\r\n folded\r\n\r\n',
    b'%(chunk)b00g\r\n\r\n',
)
LEGAL = (
    b'%(chunk)b0\r\n\r\n',
    b'00%(size)b\r\n%(body)b\r\n000\r\n\r\n',
    b'%(upper)b;x\r\n%(body)b\r\n0;y\r\n\r\n',
    b'%(size)b ; x\t= y;z="a;"\r\n%(body)b\r\n0\r\n\r\n',
    rb'%(size)b;x="";y="\""'
    b'\r\n%(body)b\r\n0\r\n\r\n',
    b'%(size)b;y="\xe9\t "\r\n%(body)b\r\n0\r\n\r\n',
    b'%(chunk)b0\r\nX: y\r\nX:\r\nDigest: z\r\n\r\n',
    # Trailers do not change the framing of the body.
    b'%(chunk)b0\r\nContent-Length: 1\r\n\r\n',
)
# Those that read bodies; a command to a runner ends with the head.
BODY_PATHS = tuple(path for path in PATHS if path != 'commands')


def responses_of(templates: tuple[bytes, ...]) -> tuple[bytes, ...]:
    """Return responses with these chunked bodies."""
    parts = {
        b'size': SIZE,
        b'upper': SIZE.upper(),
        b'body': BODY,
        b'chunk': b'%b\r\n%b\r\n' % (SIZE, BODY),
    }
    return tuple(RESPONSE % (template % parts) for template in templates)


@pytest.mark.parametrize('path', BODY_PATHS)
def test_malformed_chunks_are_not_passed_on(path: str) -> None:
    sent = responses_of(MALFORMED)
    assert in_green_process(passed_on, path, sent) == []


@pytest.mark.parametrize('path', PATHS)
def test_legal_chunks_are_not_refused(path: str) -> None:
    got = in_green_process(seen_of_responses, path, responses_of(LEGAL))
    assert got == [COMPLETE for _ in LEGAL]
