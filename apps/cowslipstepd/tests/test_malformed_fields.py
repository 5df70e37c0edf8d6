"""A response whose head holds a line that is no field is no response.

The HTTP library stops at such a line and drops all fields after it, so that a
caller got the response with a body that was not that of the runner.
"""

from __future__ import annotations

import pytest
from _green_processes import in_green_process
from _response_paths import BODY, COMPLETE, PATHS, passed_on, seen_of_responses

# A head with one more line, before a body of known length. Fields after a line
# that was no field were lost, and with the signature the whole response.
RESPONSE = b'HTTP/1.1 200 OK\r\n%b\r\nSignature: s\r\n%b\r\n\r\n%b'
SIGNED_FIRST = b'HTTP/1.1 200 OK\r\nSignature: s\r\n%b\r\n%b\r\n\r\n%b'
INFORMATIONAL = b'HTTP/1.1 103 Early Hints\r\n%b\r\n\r\n%b'
LENGTH = b'Content-Length: %d' % len(BODY)
# Marks that a token may hold beside letters and digits, RFC 9110 section 5.6.2.
TOKEN_MARKS = b"!#$%&'*+-.^_`|~"
NO_TOKEN = rb'"(),/;<=>?@[\]{} '
NO_FIELDS = (
    b'no field',
    b'X; y',
    b': y',
    b' : y',
    b' X: y',
    b'\tX: y',
    b'X : y',
    b'X\t: y',
    b'X\r\n folded',
    b'X: y\r\n folded',
    b'X: y\r\n\tfolded',
    b'X: y\r',
    b'X: y\n',
    b'X: y\nZ: z',
    b'\n',
    b'\r',
    *(b'X%cY: z' % byte for byte in NO_TOKEN),
    *(b'X%cY: z' % byte for byte in b'\t\x00\x01\x0b\x1f\x7f\x80\xe9'),
    *(b'X: y%cz' % byte for byte in b'\x00\x01\x08\x0b\x0c\r\x1f\x7f'),
)
FIELDS = (
    b'%b: y' % TOKEN_MARKS,
    b'0: y',
    b'X:',
    b'X: ',
    b'X:y',
    b'X: \t y \t ',
    b'X: y\tz',
    b'X: y\x80\xe9\xff',
    b'X: y: z',
    b'X: "y",; z',
    b'x: y\r\nX: z\r\nX: z',
    b'CONTENT-TYPE: text/plain',
    b'Connection: close',
    b'Connection: Keep-Alive',
)


def responses_with(lines: tuple[bytes, ...]) -> tuple[bytes, ...]:
    """Return responses with each of these lines, in two places of a head."""
    return tuple(
        template % (line, LENGTH, BODY)
        for template in (RESPONSE, SIGNED_FIRST)
        for line in lines
    )


@pytest.mark.parametrize('path', PATHS)
def test_malformed_field_is_not_passed_on(path: str) -> None:
    sent = responses_with(NO_FIELDS)
    assert in_green_process(passed_on, path, sent) == []


# The head that follows may be part of the one that is damaged.
@pytest.mark.parametrize('path', PATHS)
def test_malformed_informational_head(path: str) -> None:
    sound = RESPONSE % (b'X: y', LENGTH, BODY)
    sent = tuple(INFORMATIONAL % (line, sound) for line in NO_FIELDS)
    assert in_green_process(passed_on, path, sent) == []


@pytest.mark.parametrize('path', PATHS)
def test_legal_fields_are_not_refused(path: str) -> None:
    sent = responses_with(FIELDS)
    got = in_green_process(seen_of_responses, path, sent)
    assert got == [COMPLETE for _ in sent]
