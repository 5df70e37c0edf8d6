"""Calls of one engine host."""

from __future__ import annotations

import time
from collections.abc import Iterable

import attrs

from cowslipstep_standins._completions import Completions
from cowslipstep_standins._engine_host import EngineHost, set_faults
from cowslipstep_standins._members import wait_while_frozen
from cowslipstep_standins._http import (
    Environ,
    HttpAnswer,
    HttpRequest,
    StartResponse,
    ok,
    read_request,
    send_json,
    sever,
)


class EngineApi:
    """WSGI application of one host.

    Parameters
    ----------
    host
        The host that answers.
    hosts
        All hosts of this process by name, to see which members are gone.
    """

    def __init__(self, host: EngineHost, hosts: dict[str, EngineHost]) -> None:
        self._host = host
        self._hosts = hosts
        self._completions = Completions(host, hosts)

    def __call__(
        self,
        environ: Environ,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """Answer one call."""
        request = read_request(environ)
        if request.segments[0] == 'standin':
            return send_json(start_response, self._control(request))
        self._host.note_call(request.path)
        wait_while_frozen(self._host)
        if self._host.faults.dead:
            sever(environ)
            return []
        if request.segments[0] == 'v1':
            return self._completions.answer(request, start_response)
        return send_json(start_response, self._answer(request))

    def _control(self, request: HttpRequest) -> HttpAnswer:
        if request.method == 'PUT':
            set_faults(self._hosts, self._host.name, **request.document)
        runs = [attrs.asdict(run) for run in self._host.runs]
        orders = [attrs.asdict(order) for order in self._host.orders]
        unanswered = [attrs.asdict(call) for call in self._host.unanswered]
        return ok({'runs': runs, 'orders': orders, 'unanswered': unanswered})

    def _answer(self, request: HttpRequest) -> HttpAnswer:
        match request.segments:
            case ('health',):
                return ok(self._host.health())
            case ('orders',):
                return self._order(request)
            case ('cache-events',):
                return self._cache_events(request)
            case ('load',):
                return self._load()
        return HttpAnswer('404 Not Found')

    def _order(self, request: HttpRequest) -> HttpAnswer:
        if self._host.apply_order(request.document):
            return ok(self._host.health())
        return HttpAnswer('409 Conflict', {'fence': self._host.fence})

    def _cache_events(self, request: HttpRequest) -> HttpAnswer:
        after = int(request.query.get('after', 0))
        events = self._host.cache_events.published(after, time.monotonic())
        return ok({'stored': [attrs.asdict(event) for event in events]})

    def _load(self) -> HttpAnswer:
        batch = self._host.batch
        sample = self._host.load.sample(
            batch.running,
            batch.waiting,
            time.monotonic(),
        )
        return ok(attrs.asdict(sample))
