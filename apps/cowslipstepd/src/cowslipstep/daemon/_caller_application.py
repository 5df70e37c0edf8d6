"""WSGI application for callers, checks of load balancers and metrics."""

from __future__ import annotations

import uuid
from collections.abc import Iterable, Iterator

from loguru import logger

from cowslipstep.daemon._caller_responses import begin_response
from cowslipstep.daemon._completion_delivery import CompletionDelivery
from cowslipstep.daemon._completion_requests import parse_completion_request
from cowslipstep.daemon._failed_requests import record_failed_request
from cowslipstep.daemon._hangup import CallerGone
from cowslipstep.daemon._health import readiness_response, send_metrics
from cowslipstep.daemon._http import (
    REQUEST_ID,
    Environ,
    JsonResponse,
    StartResponse,
    error_response,
    send_json,
)
from cowslipstep.daemon._order_headers import is_first_send
from cowslipstep.daemon._relay import ResponsePart
from cowslipstep.daemon._request_bodies import read_body
from cowslipstep.daemon._request_headers import find_workspace
from cowslipstep.daemon._service_delivery import ServiceDelivery
from cowslipstep.daemon._service_requests import (
    SERVICES_PREFIX,
    parse_service_request,
)
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
_CLIENT_CLOSED_REQUEST = 499
_INTERNAL_ERROR = 500
_UNAVAILABLE = 503


class CallerApplication:
    """Serves callers; each call handles one request.

    Parameters
    ----------
    state
        State of the daemon.
    delivery
        Delivers completion requests.
    services
        Delivers calls to plain services.
    """

    def __init__(
        self,
        state: DaemonState,
        delivery: CompletionDelivery,
        services: ServiceDelivery,
    ) -> None:
        self._state = state
        self._delivery = delivery
        self._services = services

    def __call__(
        self,
        environ: Environ,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """Respond to one request."""
        request_id = uuid.uuid4().hex
        environ[REQUEST_ID] = request_id
        with logger.contextualize(request_id=request_id):
            try:
                return self._respond(environ, start_response)
            except RequestError as error:
                record_failed_request(self._state, environ, request_id, error)
                response = error_response(error, request_id)
            except CallerGone:
                logger.info('caller closed the connection, request ended')
                response = JsonResponse(_CLIENT_CLOSED_REQUEST, {})
            except Exception:
                logger.exception(
                    'unexpected error, caller gets status 500 (may have run)'
                )
                response = error_response(_internal_error(), request_id)
            return send_json(start_response, response)

    def _respond(
        self,
        environ: Environ,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        match environ['PATH_INFO']:
            case '/healthz':
                return send_json(
                    start_response, JsonResponse(_OK, {'ok': True})
                )
            case '/readyz':
                return send_json(
                    start_response, readiness_response(self._state)
                )
            case '/metrics':
                return send_metrics(start_response, self._state)
            case path if path in _COMPLETION_PATHS:
                parts = self._deliver_completion(environ)
            case path if path.startswith(SERVICES_PREFIX):
                parts = self._deliver_service_call(environ)
            case path:
                raise RequestError(
                    NotRun(Reason.not_found),
                    f'no endpoint at {path}',
                    _NOT_FOUND,
                )
        return begin_response(parts, environ, start_response)

    def _ready_configuration(self, environ: Environ) -> Configuration:
        if not (self._state.configuration and self._state.accepts_requests):
            raise RequestError(
                verdict_before_lookup(
                    NotRun(Reason.not_ready, retry_after_s=1),
                    first_send=is_first_send(environ),
                ),
                'the daemon is not ready to accept requests',
                _UNAVAILABLE,
            )
        return self._state.configuration

    def _deliver_completion(self, environ: Environ) -> Iterator[ResponsePart]:
        configuration = self._ready_configuration(environ)
        workspace = find_workspace(environ, configuration).name
        body = read_body(environ, self._state.settings.max_body_bytes)
        return self._delivery.deliver(
            parse_completion_request(environ, body, workspace, configuration),
        )

    def _deliver_service_call(self, environ: Environ) -> Iterator[ResponsePart]:
        configuration = self._ready_configuration(environ)
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
