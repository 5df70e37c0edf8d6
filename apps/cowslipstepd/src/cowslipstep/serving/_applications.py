"""WSGI applications for callers and for the balancer's readiness check."""

from __future__ import annotations

import contextlib
import time
from collections.abc import Iterable, Iterator
from typing import Any

from loguru import logger

from cowslipstep.daemon._hangup import CallerGone, raise_on_hangup
from cowslipstep.daemon._http import (
    REQUEST_ID,
    Environ,
    JsonResponse,
    StartResponse,
    error_document,
    send_json,
    status_line,
)
from cowslipstep.daemon._request_bodies import read_body
from cowslipstep.daemon._response_ends import logged_response_end
from cowslipstep.fleet import CallerRequest, Header, ResponseHead
from cowslipstep.model import MayHaveRun, NotRun, Reason, RequestError
from cowslipstep.serving._key_permission import accepts_keys
from cowslipstep.serving._metrics import RequestMetrics
from cowslipstep.serving._request_delivery import RequestDelivery
from cowslipstep.serving._state import ServingState, has_read_objects

_OK = 200
_NOT_FOUND = 404
_CLIENT_CLOSED = 499
_INTERNAL_ERROR = 500
_UNAVAILABLE = 503
_NOT_READY_RETRY_S = 0.5


class ReadinessApplication:
    """Reports to the balancer whether this daemon accepts requests."""

    def __init__(self, state: ServingState) -> None:
        self._state = state

    def __call__(
        self,
        environ: Environ,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """Respond to one readiness check."""
        is_ready = self._state.is_ready and accepts_keys(self._state)
        status = _OK if is_ready else _UNAVAILABLE
        if environ['PATH_INFO'] != self._state.settings.readiness_path:
            status = _NOT_FOUND
        start_response(status_line(status), [('Content-Length', '0')])
        return [b'']


class CallerApplication:
    """Serves callers; each call handles one request.

    Parameters
    ----------
    state
        State of the daemon.
    metrics
        Counts outcomes of requests.
    """

    def __init__(self, state: ServingState, metrics: RequestMetrics) -> None:
        self._state = state
        self._dialect = state.dialects.requests
        self._delivery = RequestDelivery(state, metrics)

    def __call__(
        self,
        environ: Environ,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """Respond to one request."""
        self._state.has_served = True
        try:
            return self._respond(environ, start_response)
        except RequestError as error:
            # The traceback refers to this frame and that of the body.
            failure = error.with_traceback(None)
        except CallerGone:
            logger.bind(request_id=_request_id(environ)).info(
                'caller closed the connection, request ended'
            )
            start_response(status_line(_CLIENT_CLOSED), [])
            return [b'']
        except Exception:
            logger.bind(request_id=_request_id(environ)).exception(
                'unexpected error, caller gets status 500 (may have run)'
            )
            failure = RequestError(
                MayHaveRun(Reason.internal),
                'internal error',
                _INTERNAL_ERROR,
            )
        return self._send_error(failure, _request_id(environ), start_response)

    def _read(self, environ: Environ) -> CallerRequest:
        table = self._state.configuration.table
        if table is None or not has_read_objects(self._state):
            raise RequestError(
                NotRun(Reason.not_ready, _NOT_READY_RETRY_S),
                'configuration, runners or evacuations are not read yet',
                _UNAVAILABLE,
            )
        limits = table.configuration.limits
        return self._dialect.read(
            environ['REQUEST_METHOD'],
            _target(environ),
            environ['headers_raw'],
            read_body(environ, limits.max_body_bytes),
        )

    def _respond(
        self,
        environ: Environ,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        arrived_s = time.monotonic()
        # Known first, so that each line of the log has it.
        environ[REQUEST_ID] = self._dialect.request_id(environ['headers_raw'])
        request = self._read(environ)
        parts = self._delivery.deliver(request, arrived_s)
        with raise_on_hangup(environ):
            first_part = next(parts, None)
        match first_part:
            case ResponseHead(status, headers):
                start_response(status_line(status), list(headers))
                return _body(parts, environ)
        raise TypeError(f'expected the head of a response, got {first_part!r}')

    def _send_error(
        self,
        error: RequestError,
        request_id: str,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        headers: list[Header] = []
        if request_id:
            headers.extend(self._dialect.own_headers(request_id))
        match error.verdict:
            case NotRun(retry_after_s=delay_s) if delay_s > 0:
                headers.append(('Retry-After', f'{delay_s:.3f}'))
        logger.bind(
            request_id=request_id,
            verdict=error.verdict.code,
            reason=error.verdict.reason.value,
            status=error.status,
        ).info('request not served: {}', error)
        document = error_document(error.verdict, str(error), request_id)
        response = JsonResponse(error.status, document, tuple(headers))
        return send_json(start_response, response)


def _request_id(environ: Environ) -> str:
    """Return the id of a request; empty if it could not be decoded."""
    return environ.get(REQUEST_ID, '')


def _target(environ: Environ) -> str:
    query = environ.get('QUERY_STRING', '')
    path = environ['RAW_PATH_INFO']
    return f'{path}?{query}' if query else path


def _body(parts: Any, environ: Environ) -> Iterator[bytes]:
    with (
        contextlib.closing(parts),
        logged_response_end(_request_id(environ)),
        raise_on_hangup(environ),
    ):
        yield from parts
