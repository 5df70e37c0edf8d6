"""HTTP interface of the plain service, with faults and records."""

from __future__ import annotations

import time
from collections.abc import Iterable

import eventlet
from attrs import asdict, define

from cowslipstep_standins._http import (
    Environ,
    HttpRequest,
    HttpResponse,
    StartResponse,
    close_connection,
    ok,
    read_request,
    send_json,
)

_UNAVAILABLE = '503 Service Unavailable'


@define
class ServiceFaults:
    """Faults of the service, set by tests.

    Integer fields are the number of next calls that fail in this way. With
    ``refuse`` the response is a 503 that says that the call did not run; with
    ``fail_after_run`` the call runs, and the 503 says nothing about that.
    """

    delay_s: float = 0
    cut_before_run: int = 0
    cut_after_run: int = 0
    fail_after_run: int = 0
    refuse: bool = False


@define
class ServedCall:
    """Record of one call that the service ran."""

    request_id: str
    key: str
    method: str
    path: str
    body: str
    started_s: float


class ServiceApi:
    """WSGI application of the plain-service stand-in."""

    def __init__(self) -> None:
        self._faults = ServiceFaults()
        self._calls: list[ServedCall] = []

    def __call__(
        self,
        environ: Environ,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """Respond to one call."""
        request = read_request(environ)
        if request.segments[0] == 'standin':
            return send_json(start_response, self._control(request))
        if self._faults.refuse:
            refusal = HttpResponse(_UNAVAILABLE, {'ran': False})
            return send_json(start_response, refusal)
        if self._faults.cut_before_run:
            self._faults.cut_before_run -= 1
            close_connection(environ)
            return []
        response = self._run(request)
        if self._faults.cut_after_run:
            self._faults.cut_after_run -= 1
            close_connection(environ)
            return []
        if self._faults.fail_after_run:
            self._faults.fail_after_run -= 1
            response = HttpResponse(_UNAVAILABLE)
        return send_json(start_response, response)

    def _control(self, request: HttpRequest) -> HttpResponse:
        if request.method == 'PUT':
            self._faults = ServiceFaults(**request.document)
        calls = [asdict(call) for call in self._calls]
        return ok({'calls': calls})

    def _run(self, request: HttpRequest) -> HttpResponse:
        self._calls.append(
            ServedCall(
                request.headers.get('x-request-id', ''),
                request.headers.get('idempotency-key', ''),
                request.method,
                request.path,
                request.body.decode(errors='replace'),
                time.monotonic(),
            ),
        )
        if self._faults.delay_s:
            eventlet.sleep(self._faults.delay_s)
        number = len(self._calls)
        return ok({'number': number, 'echo': self._calls[-1].body})
