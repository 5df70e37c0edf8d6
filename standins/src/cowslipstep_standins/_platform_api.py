"""HTTP interface of the platform, with faults and counts of calls."""

from __future__ import annotations

import collections
from collections.abc import Iterable
from typing import Any

import eventlet
from attrs import define, field

from cowslipstep_standins._http import (
    Environ,
    HttpRequest,
    HttpResponse,
    StartResponse,
    ok,
    read_request,
    send_json,
)
from cowslipstep_standins._object_store import ObjectStore

_CHANGES = ('POST', 'PUT', 'DELETE')


@define
class PlatformFaults:
    """Faults of the platform, set by tests.

    The next ``lose_answers`` changes whose path contains ``lose_kind`` take
    effect, but their response is lost. The calls of the daemons in
    ``cut_off`` fail. A read of an object of ``stale_kind`` returns the
    response of its first read.
    """

    outage: bool = False
    delay_s: float = 0
    lose_answers: int = 0
    lose_kind: str = ''
    cut_off: list[str] = field(factory=list)
    stale_kind: str = ''

    def fails(self, request: HttpRequest) -> bool:
        """Whether the platform is down or the sender of the call is cut off."""
        sender = request.headers.get('user-agent', '')
        return self.outage or sender in self.cut_off

    def loses_response(self, request: HttpRequest) -> bool:
        """Whether the call takes effect but its response is lost."""
        loses = (
            self.lose_answers > 0
            and request.method in _CHANGES
            and self.lose_kind in request.path
        )
        if loses:
            self.lose_answers -= 1
        return loses

    def reads_stale(self, request: HttpRequest) -> bool:
        """Whether the call returns the response of the first read."""
        prefix = f'/objects/{self.stale_kind}/'
        read = request.method == 'GET' and request.path.startswith(prefix)
        return bool(self.stale_kind) and read


class PlatformApi:
    """WSGI application of the platform stand-in."""

    def __init__(self) -> None:
        self._store = ObjectStore()
        self._faults = PlatformFaults()
        self._counts: collections.Counter[str] = collections.Counter()
        self._senders: collections.Counter[str] = collections.Counter()
        self._changes: collections.Counter[str] = collections.Counter()
        self._first_responses: dict[str, HttpResponse] = {}
        self._hosts: Any = {'live': [], 'leaving': []}

    def __call__(
        self,
        environ: Environ,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """Respond to one call."""
        request = read_request(environ)
        if request.segments[0] == 'standin':
            return send_json(start_response, self._control(request))
        response = self._respond(request)
        return send_json(start_response, response)

    def _control(self, request: HttpRequest) -> HttpResponse:
        if request.method == 'PUT':
            self._faults = PlatformFaults(**request.document)
        counters = {
            'counts': self._counts,
            'senders': self._senders,
            'changes': self._changes,
        }
        return ok(counters)

    def _respond(self, request: HttpRequest) -> HttpResponse:
        self._counts[_call_name(request)] += 1
        self._senders[_sender_name(request)] += 1
        self._changes[request.path] += request.method in _CHANGES
        if self._faults.delay_s:
            eventlet.sleep(self._faults.delay_s)
        if self._faults.fails(request):
            return HttpResponse('503 Service Unavailable')
        response = self._dispatch(request)
        if self._faults.fails(request) or self._faults.loses_response(request):
            return HttpResponse('504 Gateway Timeout')
        return response

    def _dispatch(self, request: HttpRequest) -> HttpResponse:
        if request.segments[0] == 'objects':
            return self._respond_with_object(request)
        if request.method == 'PUT':
            self._hosts = request.document
        return ok(self._hosts)

    def _respond_with_object(self, request: HttpRequest) -> HttpResponse:
        if self._faults.reads_stale(request):
            return self._first_responses[request.path]
        response = self._store.respond(request)
        if request.method == 'GET' and response.document:
            self._first_responses.setdefault(request.path, response)
        return response


def _sender_name(request: HttpRequest) -> str:
    sender = request.headers.get('user-agent', '')
    calls = 'changes' if request.method in _CHANGES else 'reads'
    return f'{sender} {calls}'


def _call_name(request: HttpRequest) -> str:
    kind = request.segments[min(1, len(request.segments) - 1)]
    method = 'WATCH' if 'wait_s' in request.query else request.method
    return f'{method} {kind}'
