"""Bodies of callers' requests, limited in size."""

from __future__ import annotations

from cowslipstep.daemon._http import Environ
from cowslipstep.model import NotRun, Reason, RequestError

_BAD_REQUEST = 400
_MAX_CONTENT_LENGTH_DIGITS = 18
_TOO_LARGE = 413


def read_body(environ: Environ, max_bytes: int) -> bytes:
    """Read a request body.

    Raises
    ------
    RequestError
        If the body is longer than ``max_bytes`` or shorter than stated, or
        ``Content-Length`` is not a number.
    """
    content_length = environ.get('CONTENT_LENGTH') or '0'
    if not content_length.isdecimal():
        raise bad_request('Content-Length is not a number')
    # int() raises ValueError for numbers of thousands of digits.
    if (
        len(content_length) > _MAX_CONTENT_LENGTH_DIGITS
        or int(content_length) > max_bytes
    ):
        raise _too_large(max_bytes)
    body = environ['wsgi.input'].read(max_bytes + 1)
    if len(body) > max_bytes:
        raise _too_large(max_bytes)
    _raise_if_cut(body, int(content_length))
    return body


def _raise_if_cut(body: bytes, content_length: int) -> None:
    if len(body) < content_length:
        raise bad_request('the connection ended within the body')


def bad_request(message: str) -> RequestError:
    """Return the error for an invalid request."""
    return RequestError(NotRun(Reason.bad_request), message, _BAD_REQUEST)


def _too_large(max_bytes: int) -> RequestError:
    return RequestError(
        NotRun(Reason.body_too_large),
        f'the body is longer than {max_bytes} bytes',
        _TOO_LARGE,
    )
