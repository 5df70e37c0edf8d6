"""Responses to callers: the head, then the body as it is relayed."""

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
from cowslipstep.daemon._relay import ResponseHead, ResponsePart
from cowslipstep.daemon._response_ends import logged_response_end

_DEFAULT_CONTENT_TYPE = 'application/json'


def begin_response(
    parts: Iterator[ResponsePart],
    environ: Environ,
    start_response: StartResponse,
) -> Iterable[bytes]:
    """Start a response once its head is known and return its body.

    Raises
    ------
    RequestError
        If the request fails before its response begins.
    CallerGone
        If the caller closes its connection before the response begins.
    """
    with raise_on_hangup(environ):
        first_part = next(parts, None)
    match first_part:
        case ResponseHead() as head:
            headers = _headers(head, environ[REQUEST_ID])
            start_response(status_line(head.status), headers)
            return _body(parts, environ)
    raise TypeError(f'expected the head of a response, got {first_part!r}')


def _headers(head: ResponseHead, request_id: str) -> list[Header]:
    headers = [
        ('Content-Type', head.content_type or _DEFAULT_CONTENT_TYPE),
        ('X-Request-Id', request_id),
    ]
    if head.content_length is not None:
        headers.append(('Content-Length', str(head.content_length)))
    if head.is_replayed:
        headers.append(('Idempotent-Replayed', 'true'))
    return headers


def _body(parts: Any, environ: Environ) -> Iterator[bytes]:
    with (
        contextlib.closing(parts),
        logged_response_end(environ[REQUEST_ID]),
        raise_on_hangup(environ),
    ):
        yield from parts
