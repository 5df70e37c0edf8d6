"""HTTP interface of one engine host."""

from __future__ import annotations

import time
from collections.abc import Iterable

import attrs

from cowslipstep_standins._completions import Completions
from cowslipstep_standins._engine_host import EngineHost
from cowslipstep_standins._group_members import wait_while_frozen
from cowslipstep_standins._host_faults import record_unanswered, set_faults
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


class EngineApi:
    """WSGI application of one host.

    Parameters
    ----------
    host
        The host that is called.
    hosts
        All hosts of this process by name, to find unreachable members.
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
        """Respond to one call."""
        request = read_request(environ)
        if request.segments[0] == 'standin':
            return send_json(start_response, self._control(request))
        if request.segments[0] == 'health':
            # Probes of a dead or frozen host count as well. The remote
            # port distinguishes the connections of the probing daemons.
            self._host.probes.append(environ['REMOTE_PORT'])
        record_unanswered(self._host, request.path)
        wait_while_frozen(self._host)
        if self._host.faults.dead:
            close_connection(environ)
            return []
        if request.segments[0] == 'v1':
            return self._completions.respond(request, start_response)
        return send_json(start_response, self._respond(request))

    def _control(self, request: HttpRequest) -> HttpResponse:
        if request.method == 'PUT':
            set_faults(self._hosts, self._host.name, **request.document)
        runs = [attrs.asdict(run) for run in self._host.runs]
        commands = [
            attrs.asdict(command) for command in self._host.applied_commands
        ]
        unanswered = [attrs.asdict(call) for call in self._host.unanswered]
        return ok(
            {
                **self._host.health(),
                'runs': runs,
                'orders': commands,
                'unanswered': unanswered,
                'probes': self._host.probes,
                'cache_reads': self._host.cache_reads,
            },
        )

    def _respond(self, request: HttpRequest) -> HttpResponse:
        match request.segments:
            case ('health',):
                return ok(self._host.health())
            case ('orders',):
                return self._apply_command(request)
            case ('cache-events',):
                return self._cache_events(request)
            case ('load',):
                return self._load()
        return HttpResponse('404 Not Found')

    def _apply_command(self, request: HttpRequest) -> HttpResponse:
        if self._host.apply_command(request.document):
            return ok(self._host.health())
        return HttpResponse('409 Conflict', {'fence': self._host.fence})

    def _cache_events(self, request: HttpRequest) -> HttpResponse:
        self._host.cache_reads += 1
        after = int(request.query.get('after', 0))
        events = self._host.cache_events.published(after, time.monotonic())
        return ok({'stored': [attrs.asdict(event) for event in events]})

    def _load(self) -> HttpResponse:
        batch = self._host.batch
        sample = self._host.load.sample(
            batch.running,
            batch.waiting,
            time.monotonic(),
        )
        return ok(attrs.asdict(sample))
