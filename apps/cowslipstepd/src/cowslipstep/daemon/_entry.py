"""WSGI application for callers."""

from __future__ import annotations

import uuid
from collections.abc import Iterable, Iterator

from loguru import logger

from cowslipstep.daemon._answers import begin_answer
from cowslipstep.daemon._completions import parse_completion
from cowslipstep.daemon._delivery import DeliveryService
from cowslipstep.daemon._failures import note_failure
from cowslipstep.daemon._hangup import CallerGone
from cowslipstep.daemon._headers import find_workspace
from cowslipstep.daemon._health import answer_readiness, send_metrics
from cowslipstep.daemon._http import (
    REQUEST_ID,
    Environ,
    JsonAnswer,
    StartResponse,
    error_answer,
    send_json,
)
from cowslipstep.daemon._intake import read_body
from cowslipstep.daemon._order_headers import is_first_send
from cowslipstep.daemon._relay import Piece
from cowslipstep.daemon._service_requests import (
    SERVICES_PREFIX,
    parse_service_request,
)
from cowslipstep.daemon._services import ServiceCalls
from cowslipstep.daemon._state import DaemonState
from cowslipstep.delivery import verdict_before_lookup
from cowslipstep.model import (
    Configuration,
    MayHaveRun,
    NotRun,
    Reason,
    RequestError,
)

_COMPLETION_PATHS = ('/v1/chat/completions', '/v1/completions')
_OK = 200
_NOT_FOUND = 404
_CLIENT_CLOSED = 499
_INTERNAL_ERROR = 500
_UNAVAILABLE = 503


class EntryApplication:
    """Answers callers; each call of it handles one request.

    Parameters
    ----------
    state
        State of the daemon.
    delivery
        Runs requests on groups.
    services
        Sends calls to plain services.
    """

    def __init__(
        self,
        state: DaemonState,
        delivery: DeliveryService,
        services: ServiceCalls,
    ) -> None:
        self._state = state
        self._delivery = delivery
        self._services = services

    def __call__(
        self,
        environ: Environ,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """Answer one request."""
        request_id = uuid.uuid4().hex
        environ[REQUEST_ID] = request_id
        with logger.contextualize(request_id=request_id):
            try:
                return self._route(environ, start_response)
            except RequestError as error:
                note_failure(self._state, environ, request_id, error)
                answer = error_answer(error, request_id)
            except CallerGone:
                logger.info('the caller closed its connection')
                answer = JsonAnswer(_CLIENT_CLOSED, {})
            except Exception:
                logger.exception('request failed')
                answer = error_answer(_internal_error(), request_id)
            return send_json(start_response, answer)

    def _route(
        self,
        environ: Environ,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        match environ['PATH_INFO']:
            case '/healthz':
                return send_json(start_response, JsonAnswer(_OK, {'ok': True}))
            case '/readyz':
                return send_json(start_response, answer_readiness(self._state))
            case '/metrics':
                return send_metrics(start_response, self._state)
            case path if path in _COMPLETION_PATHS:
                pieces = self._complete(environ)
            case path if path.startswith(SERVICES_PREFIX):
                pieces = self._call_service(environ)
            case path:
                raise RequestError(
                    NotRun(Reason.not_found),
                    f'nothing at {path}',
                    _NOT_FOUND,
                )
        return begin_answer(pieces, environ, start_response)

    def _configuration(self, environ: Environ) -> Configuration:
        if not (self._state.configuration and self._state.accepts_requests):
            raise RequestError(
                verdict_before_lookup(
                    NotRun(Reason.not_ready, retry_after_s=1),
                    first_send=is_first_send(environ),
                ),
                'the daemon is not ready',
                _UNAVAILABLE,
            )
        return self._state.configuration

    def _complete(self, environ: Environ) -> Iterator[Piece]:
        configuration = self._configuration(environ)
        workspace = find_workspace(environ, configuration).name
        body = read_body(environ, self._state.settings.max_body_bytes)
        return self._delivery.deliver(
            parse_completion(environ, body, workspace, configuration),
        )

    def _call_service(self, environ: Environ) -> Iterator[Piece]:
        configuration = self._configuration(environ)
        workspace = find_workspace(environ, configuration).name
        body = read_body(environ, self._state.settings.max_body_bytes)
        return self._services.deliver(
            parse_service_request(environ, body, workspace, configuration),
        )


def _internal_error() -> RequestError:
    return RequestError(
        MayHaveRun(Reason.internal),
        'internal error',
        _INTERNAL_ERROR,
    )
