"""Calls to plain services: parsing, and the calls that send them on."""

from __future__ import annotations

import posixpath
from urllib.parse import unquote

from attrs import frozen

from cowslipstep.daemon._http import REQUEST_ID, Environ
from cowslipstep.daemon._keyed_orders import KeyedOrder
from cowslipstep.daemon._order_headers import (
    find_idempotency_key,
    order_for_request,
)
from cowslipstep.daemon._outcomes import RequestLabels
from cowslipstep.daemon._request_headers import find_timeout_s
from cowslipstep.daemon._run_state import RunState
from cowslipstep.daemon._upstream import UpstreamCall
from cowslipstep.model import (
    Address,
    Configuration,
    NotRun,
    PlainService,
    Reason,
    RequestError,
)

SERVICES_PREFIX = '/services/'
_SAFE_METHODS = ('GET', 'HEAD')
_NOT_FOUND = 404


@frozen
class ServiceTarget:
    """Service, method and path of a call.

    ``path`` is sent to the runner as the caller wrote it. Prefixes are matched
    against ``normalized_path``, so that an encoded or relative spelling of a
    path does not evade them.
    """

    service: PlainService
    method: str
    path: str
    normalized_path: str

    @property
    def idempotent(self) -> bool:
        """Whether the call may be repeated."""
        if self.method in _SAFE_METHODS:
            return True
        prefixes = self.service.non_idempotent_paths
        return not self.normalized_path.startswith(prefixes)

    def request_parts(self, body: bytes) -> tuple[bytes, ...]:
        """Return the parts that distinguish the call from others."""
        name = self.service.name.encode()
        return (name, self.method.encode(), self.path.encode(), body)


@frozen
class ServiceRequest:
    """A call to a plain service.

    ``idempotency_key`` is sent to the runner too; it is empty if the caller
    sent none. ``order`` is ``None`` unless the call is non-idempotent and has
    a key.
    """

    request_id: str
    workspace: str
    target: ServiceTarget
    body: bytes
    content_type: str
    timeout_s: float
    idempotency_key: str
    order: KeyedOrder | None

    @property
    def labels(self) -> RequestLabels:
        """Labels of the call in logs and metrics."""
        return RequestLabels(
            self.request_id,
            self.workspace,
            self.target.service.name,
        )


def parse_service_request(
    environ: Environ,
    body: bytes,
    workspace: str,
    configuration: Configuration,
) -> ServiceRequest:
    """Parse a call to ``/services/<name>/...``.

    Raises
    ------
    RequestError
        If the service is unknown or a header is invalid.
    """
    target = _find_target(environ, configuration)
    key = (
        None if target.idempotent else find_idempotency_key(environ, workspace)
    )
    return ServiceRequest(
        request_id=environ[REQUEST_ID],
        workspace=workspace,
        target=target,
        body=body,
        content_type=environ.get('CONTENT_TYPE', ''),
        timeout_s=find_timeout_s(environ),
        idempotency_key=environ.get('HTTP_IDEMPOTENCY_KEY', ''),
        order=order_for_request(key, target.request_parts(body), configuration),
    )


def service_call(
    request: ServiceRequest,
    runner: Address,
    run: RunState,
) -> UpstreamCall:
    """Return the upstream call that sends a request to a runner."""
    headers = {
        'X-Request-Id': request.request_id,
        'X-Workspace': request.workspace,
    }
    if request.idempotency_key:
        headers['Idempotency-Key'] = request.idempotency_key
    if request.content_type:
        headers['Content-Type'] = request.content_type
    return UpstreamCall(
        runner,
        request.target.method,
        request.target.path,
        request.body,
        headers,
        run.remaining_s,
    )


def _find_target(
    environ: Environ,
    configuration: Configuration,
) -> ServiceTarget:
    path = environ['RAW_PATH_INFO'].removeprefix(SERVICES_PREFIX)
    name, _, rest = path.partition('/')
    query = environ.get('QUERY_STRING', '')
    return ServiceTarget(
        _find_service(name, configuration),
        environ['REQUEST_METHOD'],
        f'/{rest}?{query}' if query else f'/{rest}',
        _normalize_path(rest),
    )


def _normalize_path(rest: str) -> str:
    decoded = unquote(rest)
    return posixpath.normpath(f'/{decoded}').replace('//', '/')


def _find_service(name: str, configuration: Configuration) -> PlainService:
    for service in configuration.services:
        if service.name == name and service.addresses:
            return service
    raise RequestError(
        NotRun(Reason.unknown_service),
        f'unknown service {name!r}',
        _NOT_FOUND,
    )
