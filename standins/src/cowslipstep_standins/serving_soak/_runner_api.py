"""HTTP interface of runners, which may fall silent at any moment."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from http.client import responses
from typing import Any

import eventlet
from attrs import define

from cowslipstep_standins._http import (
    Environ,
    HttpResponse,
    StartResponse,
    ok,
    read_request,
    send_json,
)
from cowslipstep_standins.serving_soak._plain_commands import decode_command
from cowslipstep_standins.serving_soak._plain_requests import (
    ID_HEADER,
    LAST_EVENT_HEADER,
    NOT_RUN_HEADER,
    SIGNATURE_HEADER,
)
from cowslipstep_standins.takeovers._group_commands import GroupCommands
from cowslipstep_standins.takeovers._grouped_runner import GroupedRunner

EVENTS = 6
_EVENT_PERIOD_S = 0.05
_SILENCE_SHARE = 0.3
_SILENCES_S = (0.8, 1.2)


@define
class RunnerApi:
    """WSGI application of one runner.

    Attributes
    ----------
    runner
        The runner.
    commands
        Carries out commands, and draws silences.
    """

    runner: GroupedRunner
    commands: GroupCommands

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Respond to one request."""
        request = read_request(environ)
        if request.method == 'GET':
            return send_json(start_response, ok({}))
        if request.path == '/command':
            return send_json(start_response, self._carry_out(request.document))
        if not self.runner.is_serving:
            refusal = [(NOT_RUN_HEADER, '1'), ('Content-Length', '0')]
            start_response('503 Service Unavailable', refusal)
            return [b'']
        head = [(SIGNATURE_HEADER, 's'), ('Content-Type', 'text/event-stream')]
        start_response('200 OK', head)
        return self._events(
            request.headers[ID_HEADER],
            int(request.headers[LAST_EVENT_HEADER]) + 1,
        )

    def _carry_out(self, document: Any) -> HttpResponse:
        command = decode_command(document)
        status = self.commands.take(self.runner, command, document['token'])
        return HttpResponse(f'{status} {responses[status]}')

    def _events(self, request_id: str, first: int) -> Iterator[bytes]:
        chance = self.commands.runners.chance
        is_silent = chance.random() < _SILENCE_SHARE
        # After the last event for that number.
        silent_before = chance.randint(0, EVENTS) if is_silent else -1
        for number in range(first, EVENTS):
            self._pause(is_silent=number == silent_before)
            yield event(request_id, number)
        self._pause(is_silent=silent_before == EVENTS)

    def _pause(self, *, is_silent: bool) -> None:
        chance = self.commands.runners.chance
        eventlet.sleep(
            chance.uniform(*_SILENCES_S) if is_silent else _EVENT_PERIOD_S
        )


def event(request_id: str, number: int) -> bytes:
    """Return an event of the response to a request."""
    return f'id: {number}\ndata: {request_id}\n\n'.encode()


def whole_body(request_id: str) -> bytes:
    """Return all events of the response to a request."""
    return b''.join(event(request_id, number) for number in range(EVENTS))
