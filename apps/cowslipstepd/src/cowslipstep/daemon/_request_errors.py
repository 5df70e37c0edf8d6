"""Errors of requests, before and after the response has begun."""

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
_RETRY_AFTER_S = 1


def request_error(verdict: Verdict, message: str) -> RequestError:
    """Return the error of a request whose response has not begun."""
    failed_verdict = _failed_verdict(verdict)
    return RequestError(failed_verdict, message, _status(failed_verdict))


def error_event(verdict: Verdict, message: str, request_id: str) -> bytes:
    """Return the server-sent event that ends an incomplete stream."""
    document = error_document(_failed_verdict(verdict), message, request_id)
    return f'event: error\ndata: {json.dumps(document)}\n\n'.encode()


def no_capacity(message: str) -> RequestError:
    """Return the error of a request for which there is no room."""
    return RequestError(
        NotRun(Reason.no_capacity, _RETRY_AFTER_S), message, _UNAVAILABLE
    )


def _failed_verdict(verdict: Verdict) -> NotRun | MayHaveRun:
    match verdict:
        case Completed():
            return MayHaveRun(Reason.internal)
        case failed_verdict:
            return failed_verdict


def _status(verdict: NotRun | MayHaveRun) -> int:
    match verdict:
        case NotRun():
            return _UNAVAILABLE
        case MayHaveRun(Reason.upstream_timeout):
            return _GATEWAY_TIMEOUT
        case MayHaveRun():
            return _BAD_GATEWAY
