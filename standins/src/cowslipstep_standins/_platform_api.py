"""The platform's calls, with switches for faults and a count of calls."""

from __future__ import annotations

import collections
from collections.abc import Iterable
from typing import Any

import eventlet
from attrs import define, field

from cowslipstep_standins._http import (
    Environ,
    HttpAnswer,
    HttpRequest,
    StartResponse,
    ok,
    read_request,
    send_json,
)
from cowslipstep_standins._object_store import ObjectStore

_CHANGES = ('POST', 'PUT', 'DELETE')


@define
class Faults:
    """What goes wrong: set by tests.

    ``lose_answers`` is the number of changes to come that take effect but
    whose answer is lost; ``cut_off`` names daemons whose calls fail;
    objects of ``stale_kind`` are read as they were first read.
    """

    outage: bool = False
    delay_s: float = 0
    lose_answers: int = 0
    lose_kind: str = ''
    cut_off: list[str] = field(factory=list)
    stale_kind: str = ''

    def fails(self, request: HttpRequest) -> bool:
        """Whether the call gets no answer."""
        sender = request.headers.get('user-agent', '')
        return self.outage or sender in self.cut_off

    def loses_answer(self, request: HttpRequest) -> bool:
        """Whether the call takes effect but its answer is lost."""
        loses = (
            self.lose_answers > 0
            and request.method in _CHANGES
            and self.lose_kind in request.path
        )
        if loses:
            self.lose_answers -= 1
        return loses

    def makes_stale(self, request: HttpRequest) -> bool:
        """Whether the call reads an old version."""
        prefix = f'/objects/{self.stale_kind}/'
        read = request.method == 'GET' and request.path.startswith(prefix)
        return bool(self.stale_kind) and read


class PlatformApi:
    """WSGI application of the stand-in."""

    def __init__(self) -> None:
        self._store = ObjectStore()
        self._faults = Faults()
        self._counts: collections.Counter[str] = collections.Counter()
        self._senders: collections.Counter[str] = collections.Counter()
        self._changes: collections.Counter[str] = collections.Counter()
        self._first_answers: dict[str, HttpAnswer] = {}
        self._hosts: Any = {'live': [], 'leaving': []}

    def __call__(
        self,
        environ: Environ,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """Answer one call."""
        request = read_request(environ)
        if request.segments[0] == 'standin':
            return send_json(start_response, self._control(request))
        answer = self._answer(request)
        return send_json(start_response, answer)

    def _control(self, request: HttpRequest) -> HttpAnswer:
        if request.method == 'PUT':
            self._faults = Faults(**request.document)
        counted = {
            'counts': self._counts,
            'senders': self._senders,
            'changes': self._changes,
        }
        return ok(counted)

    def _answer(self, request: HttpRequest) -> HttpAnswer:
        self._counts[_count_name(request)] += 1
        self._senders[_sender_name(request)] += 1
        self._changes[request.path] += request.method in _CHANGES
        if self._faults.delay_s:
            eventlet.sleep(self._faults.delay_s)
        if self._faults.fails(request):
            return HttpAnswer('503 Service Unavailable')
        answer = self._dispatch(request)
        if self._faults.fails(request) or self._faults.loses_answer(request):
            return HttpAnswer('504 Gateway Timeout')
        return answer

    def _dispatch(self, request: HttpRequest) -> HttpAnswer:
        if request.segments[0] == 'objects':
            return self._object_answer(request)
        if request.method == 'PUT':
            self._hosts = request.document
        return ok(self._hosts)

    def _object_answer(self, request: HttpRequest) -> HttpAnswer:
        if self._faults.makes_stale(request):
            return self._first_answers[request.path]
        answer = self._store.answer(request)
        if request.method == 'GET' and answer.document:
            self._first_answers.setdefault(request.path, answer)
        return answer


def _sender_name(request: HttpRequest) -> str:
    sender = request.headers.get('user-agent', '')
    calls = 'changes' if request.method in _CHANGES else 'reads'
    return f'{sender} {calls}'


def _count_name(request: HttpRequest) -> str:
    kind = request.segments[min(1, len(request.segments) - 1)]
    method = 'WATCH' if 'wait_s' in request.query else request.method
    return f'{method} {kind}'
