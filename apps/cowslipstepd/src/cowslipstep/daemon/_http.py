"""HTTP types, status lines and JSON responses to callers."""

from __future__ import annotations

import json
import math
from collections.abc import Callable
from http.client import responses
from typing import Any

from attrs import frozen

from cowslipstep.model import MayHaveRun, NotRun, RequestError

Environ = dict[str, Any]
Header = tuple[str, str]
REQUEST_ID = 'cowslipstep.request_id'
# Key of an environ: writer of its connection.
CALLER_WRITER = 'cowslipstep.caller_writer'
# Key of an environ: whether its connection is beyond the limit of connections.
OVER_LIMIT = 'cowslipstep.over_limit'
StartResponse = Callable[[str, list[Header]], Any]


@frozen
class JsonResponse:
    """Status, document and additional headers of a JSON response."""

    status: int
    document: Any
    headers: tuple[Header, ...] = ()


def status_line(status: int) -> str:
    """Return the status line of a status code.

    Examples
    --------
    >>> status_line(404)
    '404 Not Found'
    """
    phrase = responses.get(status, 'Unknown')
    return f'{status} {phrase}'


def send_json(
    start_response: StartResponse,
    response: JsonResponse,
) -> list[bytes]:
    """Start a JSON response and return its body."""
    payload = json.dumps(response.document).encode()
    headers = [
        ('Content-Type', 'application/json'),
        ('Content-Length', str(len(payload))),
        *response.headers,
    ]
    start_response(status_line(response.status), headers)
    return [payload]


def error_response(error: RequestError, request_id: str) -> JsonResponse:
    """Return the JSON response for an error, with its verdict."""
    headers: tuple[Header, ...] = (('X-Request-Id', request_id),)
    match error.verdict:
        case NotRun(retry_after_s=delay_s) if delay_s > 0:
            headers = (*headers, ('Retry-After', str(math.ceil(delay_s))))
    return JsonResponse(
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
