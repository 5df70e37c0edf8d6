"""Errors of requests, before and after their answer has begun."""

from __future__ import annotations

import json

from cowslipstep.daemon._http import error_document
from cowslipstep.model import (
    Completed,
    MayHaveRun,
    NotRun,
    Reason,
    RequestError,
    Verdict,
)

_BAD_GATEWAY = 502
_UNAVAILABLE = 503
_GATEWAY_TIMEOUT = 504


def request_error(verdict: Verdict, message: str) -> RequestError:
    """Return the error of a request whose answer has not begun."""
    failed = _failure(verdict)
    return RequestError(failed, message, _status(failed))


def error_event(verdict: Verdict, message: str, request_id: str) -> bytes:
    """Return the server-sent event that ends a broken stream."""
    document = error_document(_failure(verdict), message, request_id)
    return f'event: error\ndata: {json.dumps(document)}\n\n'.encode()


def _failure(verdict: Verdict) -> NotRun | MayHaveRun:
    match verdict:
        case Completed():
            return MayHaveRun(Reason.internal)
        case failed:
            return failed


def _status(verdict: NotRun | MayHaveRun) -> int:
    match verdict:
        case NotRun():
            return _UNAVAILABLE
        case MayHaveRun(Reason.upstream_timeout):
            return _GATEWAY_TIMEOUT
        case MayHaveRun():
            return _BAD_GATEWAY
