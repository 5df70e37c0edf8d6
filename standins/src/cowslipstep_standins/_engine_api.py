"""Calls of one engine host; the leading member of a group generates."""

from __future__ import annotations

import time
from collections.abc import Iterable, Iterator

import attrs
import eventlet

from cowslipstep_standins._engine_host import EngineFaults, EngineHost, Run
from cowslipstep_standins._generation import Generation, parse_generation
from cowslipstep_standins._http import (
    Environ,
    HttpAnswer,
    HttpRequest,
    StartResponse,
    read_request,
    send_json,
    sever,
)

_FROZEN_POLL_S = 0.05
_SSE_HEADERS = (
    ('Content-Type', 'text/event-stream'),
    ('Cache-Control', 'no-cache'),
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

    def __call__(
        self,
        environ: Environ,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """Answer one call."""
        request = read_request(environ)
        if request.segments[0] == 'standin':
            return send_json(start_response, self._control(request))
        self._wait_while_frozen()
        if self._host.faults.dead:
            sever(environ)
            return []
        if request.segments[0] == 'v1':
            return self._complete(request, start_response)
        return send_json(start_response, self._answer(request))

    def _control(self, request: HttpRequest) -> HttpAnswer:
        if request.method == 'PUT':
            self._host.faults = EngineFaults(**request.document)
        return HttpAnswer(
            '200 OK',
            {
                'runs': [attrs.asdict(run) for run in self._host.runs],
                'orders': [attrs.asdict(order) for order in self._host.orders],
            },
        )

    def _wait_while_frozen(self) -> None:
        while self._host.faults.frozen:
            eventlet.sleep(_FROZEN_POLL_S)

    def _answer(self, request: HttpRequest) -> HttpAnswer:
        match request.segments:
            case ('health',):
                return HttpAnswer('200 OK', self._host.health())
            case ('orders',):
                return self._order(request)
            case ('cache-events',):
                return self._cache_events(request)
        return HttpAnswer('404 Not Found')

    def _order(self, request: HttpRequest) -> HttpAnswer:
        if self._host.apply_order(request.document):
            return HttpAnswer('200 OK', self._host.health())
        return HttpAnswer('409 Conflict', {'fence': self._host.fence})

    def _cache_events(self, request: HttpRequest) -> HttpAnswer:
        after = int(request.query.get('after', 0))
        return HttpAnswer(
            '200 OK',
            {
                'next': len(self._host.cached),
                'stored': self._host.cached[after:],
            },
        )

    def _complete(
        self,
        request: HttpRequest,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        refusal = self._host.faults.refuse_status
        if self._host.state != 'ready':
            refusal = '503 Service Unavailable'
        if refusal:
            answer = HttpAnswer(refusal, {'ran': False})
            return send_json(start_response, answer)
        chat = request.segments[1] == 'chat'
        generation = parse_generation(request.document, request.headers, chat)
        events = self._generate(generation)
        if generation.stream:
            start_response('200 OK', list(_SSE_HEADERS))
            return events
        for _event in events:
            """Unary answers are generated like streamed ones."""
        answer = HttpAnswer('200 OK', generation.document())
        return send_json(start_response, answer)

    def _generate(self, generation: Generation) -> Iterator[bytes]:
        with self._host.batch.slot(generation.priority):
            run = self._record(generation)
            try:
                yield from self._tokens(generation, run)
            except GeneratorExit:
                run.outcome = 'cancelled'
                raise
        if run.outcome == 'running':
            run.outcome = 'completed'

    def _record(self, generation: Generation) -> Run:
        run = Run(
            generation.request_id,
            generation.key,
            generation.digest,
            self._host.group,
            time.monotonic(),
            generation.first_token,
            self._missing_members(),
        )
        self._host.runs.append(run)
        self._host.note_prefix(generation.prompt)
        return run

    def _tokens(self, generation: Generation, run: Run) -> Iterator[bytes]:
        for index in range(generation.first_token, generation.tokens):
            eventlet.sleep(self._host.token_s * self._host.faults.slow_factor)
            self._wait_while_frozen()
            self._raise_if_cut(run)
            run.tokens += 1
            yield generation.event(index)
        yield b'data: [DONE]\n\n'

    def _raise_if_cut(self, run: Run) -> None:
        limit = self._host.faults.cut_after_tokens
        if 0 <= limit <= run.tokens:
            run.outcome = 'cut'
            raise ConnectionResetError('stream cut by a fault')
        if self._missing_members():
            run.outcome = 'cut'
            raise ConnectionResetError('a member of the group is gone')

    def _missing_members(self) -> list[str]:
        return [
            member
            for member in self._host.members
            if self._is_gone(self._hosts.get(member))
        ]

    def _is_gone(self, member: EngineHost | None) -> bool:
        return member is not None and (
            member.faults.dead or member.group != self._host.group
        )
