"""Answers to callers: head first, then the body as it comes."""

from __future__ import annotations

import contextlib
from collections.abc import Iterable, Iterator
from typing import Any

from cowslipstep.daemon._hangup import raise_on_hangup
from cowslipstep.daemon._http import (
    REQUEST_ID,
    Environ,
    Header,
    StartResponse,
    status_line,
)
from cowslipstep.daemon._relay import Piece, ResponseHead

_DEFAULT_TYPE = 'application/json'


def begin_answer(
    pieces: Iterator[Piece],
    environ: Environ,
    start_response: StartResponse,
) -> Iterable[bytes]:
    """Start an answer once its head is known and return its body.

    Raises
    ------
    RequestError
        If the request fails before its answer begins.
    CallerGone
        If the caller hangs up before that.
    """
    with raise_on_hangup(environ):
        head = next(pieces)
    match head:
        case ResponseHead():
            headers = _headers(head, environ[REQUEST_ID])
            start_response(status_line(head.status), headers)
    return _body(pieces, environ)


def _headers(head: ResponseHead, request_id: str) -> list[Header]:
    headers = [
        ('Content-Type', head.content_type or _DEFAULT_TYPE),
        ('X-Request-Id', request_id),
    ]
    if head.length is not None:
        headers.append(('Content-Length', str(head.length)))
    if head.replayed:
        headers.append(('Idempotent-Replayed', 'true'))
    return headers


def _body(pieces: Any, environ: Environ) -> Iterator[bytes]:
    with contextlib.closing(pieces), raise_on_hangup(environ):
        yield from pieces
