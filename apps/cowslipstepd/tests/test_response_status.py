"""A response without a valid status is no response, on any path.

A runner in trouble sent the status 000, and a caller elsewhere got it.
"""

from __future__ import annotations

import pytest
from _green_processes import in_green_process
from _response_paths import (
    COMPLETE,
    NO_RESPONSE,
    PATHS,
    seen_of_heads,
    seen_of_script,
)
from _scripted_runners import Close, Send, SendEndlessly

INVALID = (
    b'HTTP/1.1 000 X\r\n',
    b'HTTP/1.1 0 X\r\n',
    b'HTTP/1.1 20 X\r\n',
    b'HTTP/1.1 99 X\r\n',
    b'HTTP/1.1 +200 OK\r\n',
    b'HTTP/1.1 -200 OK\r\n',
    b'HTTP/1.1  200 OK\r\n',
    b'HTTP/1.1 2_0_0 OK\r\n',
    b'HTTP/1.1 0200 OK\r\n',
    b'HTTP/1.1 200.0 OK\r\n',
    b'HTTP/1.1 600 X\r\n',
    b'HTTP/1.1 999 X\r\n',
    # Its headers promise nothing, either.
    b'HTTP/1.1 999 X\r\nNot-Run: 1\r\n',
    b'HTTP/1.1 2000 X\r\n',
    b'HTTP/1.1 101 Switching Protocols\r\n',
    b'HTTP/1.1 \r\n',
    b'HTTP/1.1\r\n',
    b'HTTP/2.0 200 OK\r\n',
    b'HTTP/0.9 200 OK\r\n',
    b'HTTP/1.1x 200 OK\r\n',
    b'ICY 200 OK\r\n',
    b' HTTP/1.1 200 OK\r\n',
    # Line ends that RFC 9112 section 2.2 leaves to the recipient: one wrong
    # byte before a line end makes them the end of the head.
    b'HTTP/1.1 200 OK\n',
    b'HTTP/1.1 200 O\n\r\n',
    b'HTTP/1.1 200 O\rK\r\n',
    b'HTTP/1.1 200 O\x00K\r\n',
    b'HTTP/1.1 200 O\x7fK\r\n',
    # Informational responses that no final one follows.
    b'HTTP/1.1 100 Continue\r\n',
    b'HTTP/1.1 102 Processing\r\n',
    b'HTTP/1.1 103 Early Hints\r\n',
    b'HTTP/1.1 100 C\r\n\r\nHTTP/1.1 101 X\r\n',
    b'HTTP/1.1 102 P\r\n\r\nHTTP/1.1 000 X\r\n',
)
VALID = (
    b'HTTP/1.1 200 OK\r\n',
    b'HTTP/1.1 200 \r\n',
    b'HTTP/1.1 200\r\n',
    b'HTTP/1.0 200 OK\r\n',
    b'HTTP/1.1 200 \xe9t\xe9\tx: y\r\n',
    b'HTTP/1.1 100 Continue\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\n',
    b'HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\n',
    b'HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\n',
)
ENDLESS = SendEndlessly(b'HTTP/1.1 102 Processing\r\n\r\n' * 100)


@pytest.mark.parametrize('path', PATHS)
def test_invalid_status_is_no_response(path: str) -> None:
    got = in_green_process(seen_of_heads, path, INVALID)
    seen = zip(INVALID, got, strict=True)
    wrong = [
        (head, outcome)
        for head, outcome in seen
        if outcome not in NO_RESPONSE[path]
    ]
    assert wrong == []


@pytest.mark.parametrize('path', PATHS)
def test_valid_status_is_a_response(path: str) -> None:
    got = in_green_process(seen_of_heads, path, VALID)
    assert got == [COMPLETE for _ in VALID]


@pytest.mark.parametrize('path', PATHS)
def test_endless_informational_heads_end(path: str) -> None:
    script = (Send(b'HTTP/1.1 100 Continue\r\n\r\n'), ENDLESS, Close())
    outcome = in_green_process(seen_of_script, path, script)
    assert outcome in NO_RESPONSE[path]
