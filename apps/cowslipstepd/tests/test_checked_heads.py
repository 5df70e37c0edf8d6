"""Nothing but valid heads is written to callers, whatever was read."""

from __future__ import annotations

import json
from typing import Any

import pytest
from _callers import Received
from _green_processes import in_green_process
from _scripted_runners import ScriptedRunners, Send, response
from _serving_harness import ONCE, Harness
from attrs import evolve

from cowslipstep.daemon._checked_heads import with_checked_head
from cowslipstep.fleet import ResponseHead

INVALID_FIELDS = (
    ('X', 'y\r\nContent-Length: 0'),
    ('X', 'y\nZ: z'),
    ('X', 'y\r'),
    ('X', 'y\x00'),
    ('X', '\u20ac'),
    ('X Y', 'z'),
    ('X:', 'z'),
    ('', 'z'),
    ('X\r\nY', 'z'),
    ('\xe9', 'z'),
)
VALID_FIELDS = (('X', ''), ('X', 'y\tz \xff'), ("!#$%&'*+-.^_`|~", 'z'))
OK = '200 OK'
INVALID_STATUSES = ('000 X', '100 C', '600 X', '200', '200 a\r\nb', '20 X')


def refused(status: str, headers: list[Any]) -> bool:
    """Return whether a head is refused before any of it is written."""
    written: list[str] = []
    start = with_checked_head(lambda line, _headers: written.append(line))
    try:
        start(status, headers)
    except ValueError:
        return not written
    return False


@pytest.mark.parametrize('field', INVALID_FIELDS)
def test_invalid_field_is_not_written(field: tuple[str, str]) -> None:
    assert refused(OK, [('A', 'b'), field])


@pytest.mark.parametrize('status', INVALID_STATUSES)
def test_invalid_status_is_not_written(status: str) -> None:
    assert refused(status, [])


def test_valid_head_is_written() -> None:
    assert not refused(OK, list(VALID_FIELDS))


def served_with(field: tuple[str, str]) -> Received:
    """Return what a caller gets if a field of the response is this one."""
    runners = ScriptedRunners(2, (Send(response(b'text')),))
    harness = Harness(runners, runners)
    dialect = harness.state.dialects.requests
    decode = dialect.response_head

    def add_field(*head: Any) -> ResponseHead:  # noqa: WPS430
        decoded = decode(*head)
        return evolve(decoded, headers=(*decoded.headers, field))

    dialect.response_head = add_field
    return harness.exchange(ONCE)


@pytest.mark.parametrize('field', INVALID_FIELDS)
def test_unwritable_response_is_an_error(
    field: tuple[str, str],
) -> None:
    received = in_green_process(served_with, field)
    assert received.status == 500
    assert json.loads(received.body)['error']['verdict'] == 'may_have_run'
    assert ('Signature', 's') not in received.headers
