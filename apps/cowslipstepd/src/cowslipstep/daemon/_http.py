"""Reading callers' HTTP requests and writing JSON answers."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

from attrs import frozen

from cowslipstep.model import MayHaveRun, NotRun, Reason, RequestError

Environ = dict[str, Any]
StartResponse = Callable[[str, list[tuple[str, str]]], Any]

_STATUS_LINES = {  # noqa: WPS407
    200: '200 OK',
    400: '400 Bad Request',
    401: '401 Unauthorized',
    404: '404 Not Found',
    405: '405 Method Not Allowed',
    409: '409 Conflict',
    413: '413 Content Too Large',
    429: '429 Too Many Requests',
    499: '499 Client Closed Request',
    500: '500 Internal Server Error',
    502: '502 Bad Gateway',
    503: '503 Service Unavailable',
    504: '504 Gateway Timeout',
}
_BAD_REQUEST = 400
_TOO_LARGE = 413


@frozen
class JsonAnswer:
    """Status, document and extra headers of a JSON answer."""

    status: int
    document: Any
    headers: tuple[tuple[str, str], ...] = ()


def status_line(status: int) -> str:
    """Return the status line of a status code."""
    return _STATUS_LINES.get(status, f'{status} Status')


def send_json(
    start_response: StartResponse,
    answer: JsonAnswer,
) -> list[bytes]:
    """Start a JSON answer and return its body."""
    payload = json.dumps(answer.document).encode()
    headers = [
        ('Content-Type', 'application/json'),
        ('Content-Length', str(len(payload))),
        *answer.headers,
    ]
    start_response(status_line(answer.status), headers)
    return [payload]


def error_answer(error: RequestError, request_id: str) -> JsonAnswer:
    """Return the JSON answer for an error, with its verdict."""
    headers: tuple[tuple[str, str], ...] = (('X-Request-Id', request_id),)
    match error.verdict:
        case NotRun(retry_after_s=delay_s) if delay_s > 0:
            headers = (*headers, ('Retry-After', str(round(delay_s + 0.5))))
    return JsonAnswer(
        error.status,
        error_document(error.verdict, str(error), request_id),
        headers,
    )


def error_document(
    verdict: NotRun | MayHaveRun,
    message: str,
    request_id: str,
) -> Any:
    """Return the JSON document of an error."""
    return {
        'error': {
            'code': verdict.reason.value,
            'message': message,
            'verdict': verdict.code,
            'request_id': request_id,
        },
    }


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
    if int(declared) > max_bytes:
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
