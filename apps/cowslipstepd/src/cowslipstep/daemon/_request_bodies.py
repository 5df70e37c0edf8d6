"""Reading the bodies of callers' requests."""

from __future__ import annotations

from cowslipstep.daemon._http import Environ
from cowslipstep.model import NotRun, Reason, RequestError

_BAD_REQUEST = 400
_MAX_LENGTH_DIGITS = 18
_TOO_LARGE = 413


def read_body(environ: Environ, max_bytes: int) -> bytes:
    """Read a request body.

    Raises
    ------
    RequestError
        If it is longer than ``max_bytes`` or its length is no number.
    """
    declared = environ.get('CONTENT_LENGTH') or '0'
    if not declared.isdecimal():
        raise bad_request('Content-Length is not a number')
    # Python refuses to convert numbers of thousands of digits.
    if len(declared) > _MAX_LENGTH_DIGITS or int(declared) > max_bytes:
        raise _too_large(max_bytes)
    body = environ['wsgi.input'].read(max_bytes + 1)
    if len(body) > max_bytes:
        raise _too_large(max_bytes)
    return body


def bad_request(message: str) -> RequestError:
    """Return the error for a request that cannot be understood."""
    return RequestError(NotRun(Reason.bad_request), message, _BAD_REQUEST)


def _too_large(max_bytes: int) -> RequestError:
    return RequestError(
        NotRun(Reason.body_too_large),
        f'the body is longer than {max_bytes} bytes',
        _TOO_LARGE,
    )
