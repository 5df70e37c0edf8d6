"""Bodies of callers' requests, limited in size."""

from __future__ import annotations

from typing import Any

import eventlet
from eventlet.wsgi import ChunkReadError

from cowslipstep.daemon._caller_reader import RequestTooLong, discard_rest
from cowslipstep.daemon._charges import MemoryRefused
from cowslipstep.daemon._held_bytes import gathered, receiving, release_all
from cowslipstep.daemon._http import OVER_LIMIT, Environ
from cowslipstep.daemon._request_errors import no_capacity
from cowslipstep.model import NotRun, Reason, RequestError

_BAD_REQUEST = 400
_MAX_CONTENT_LENGTH_DIGITS = 18
_TOO_LARGE = 413
_REQUEST_TIMEOUT = 408
# A body is gathered in parts of this size, whatever the size of its chunks.
_PART_BYTES = 65536
# Longest time for which a body is received.
_MAX_BODY_S = 60


def read_body(environ: Environ, max_bytes: int) -> bytes:
    """Read a request body.

    Raises
    ------
    RequestError
        If the body is longer than ``max_bytes`` or shorter than stated, or
        ``Content-Length`` is not a number, or the body does not arrive in
        time, or the daemon has too many connections or no memory left.
    """
    try:
        return _read_admitted(environ, max_bytes)
    except RequestError:
        release_all(environ)
        discard_rest(environ)
        raise


def _read_admitted(environ: Environ, max_bytes: int) -> bytes:
    if environ.get(OVER_LIMIT):
        raise no_capacity('the daemon has no room for more connections')
    return _read_whole(environ, max_bytes)


def _read_whole(environ: Environ, max_bytes: int) -> bytes:
    content_length = environ.get('CONTENT_LENGTH') or '0'
    if not content_length.isdecimal():
        raise bad_request('Content-Length is not a number')
    # int() raises ValueError for numbers of thousands of digits.
    if (
        len(content_length) > _MAX_CONTENT_LENGTH_DIGITS
        or int(content_length) > max_bytes
    ):
        raise _too_large(max_bytes)
    with receiving(environ):
        body = _receive(environ['wsgi.input'], max_bytes)
    if len(body) < int(content_length):
        raise bad_request('the connection ended within the body')
    return body


def _receive(source: Any, max_bytes: int) -> bytes:
    late = RequestError(
        NotRun(Reason.bad_request),
        f'the body did not arrive within {_MAX_BODY_S} s',
        _REQUEST_TIMEOUT,
    )
    with gathered() as body, eventlet.Timeout(_MAX_BODY_S, late):
        while part := _read_part(source):
            body += part
            if len(body) > max_bytes:
                raise _too_large(max_bytes)
        return bytes(body)


def _read_part(source: Any) -> bytes:
    try:
        part: bytes = source.read(_PART_BYTES)
    except (RequestTooLong, ChunkReadError) as error:
        raise bad_request(str(error)) from error
    except MemoryRefused as error:
        raise no_capacity(str(error.strerror)) from error
    return part


def bad_request(message: str) -> RequestError:
    """Return the error for an invalid request."""
    return RequestError(NotRun(Reason.bad_request), message, _BAD_REQUEST)


def _too_large(max_bytes: int) -> RequestError:
    return RequestError(
        NotRun(Reason.body_too_large),
        f'the body is longer than {max_bytes} bytes',
        _TOO_LARGE,
    )
