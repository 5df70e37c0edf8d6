"""Reading callers' HTTP requests and writing JSON answers."""

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
StartResponse = Callable[[str, list[Header]], Any]


@frozen
class JsonResponse:
    """Status, document and extra headers of a JSON answer."""

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
    answer: JsonResponse,
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


def error_response(error: RequestError, request_id: str) -> JsonResponse:
    """Return the JSON answer for an error, with its verdict."""
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
