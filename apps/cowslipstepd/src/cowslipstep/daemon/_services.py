"""Calls to plain services."""

from __future__ import annotations

import itertools
from collections.abc import Iterator

from attrs import frozen

from cowslipstep.daemon._delivery import AnswerHead
from cowslipstep.daemon._state import DaemonState
from cowslipstep.daemon._upstream import (
    UpstreamCall,
    UpstreamFailure,
    UpstreamPool,
    read_pieces,
)
from cowslipstep.metrics import CounterKey
from cowslipstep.model import (
    Completed,
    Configuration,
    NotRun,
    PlainService,
    Reason,
    RequestError,
    Verdict,
)

_NOT_FOUND = 404
_BAD_GATEWAY = 502


@frozen
class ServiceRequest:
    """A call to a plain service."""

    request_id: str
    workspace: str
    service: str
    method: str
    path: str
    body: bytes
    key: str
    content_type: str


class ServiceCalls:
    """Sends calls to plain services, in turn to each upstream.

    Parameters
    ----------
    state
        State of the daemon.
    """

    def __init__(self, state: DaemonState) -> None:
        self._state = state
        self._turns = itertools.count()
        self._upstreams = UpstreamPool()

    def deliver(
        self,
        request: ServiceRequest,
        configuration: Configuration,
    ) -> Iterator[AnswerHead | bytes]:
        """Yield the head of the answer, then its body piece by piece.

        Raises
        ------
        RequestError
            If the call fails before the head was yielded.
        """
        service = _find_service(request.service, configuration)
        call = self._call(request, service)
        try:
            with self._upstreams.open(call) as answer:
                content_type = answer.headers.get('Content-Type', '')
                body = b''.join(read_pieces(answer))
                status = answer.status
        except UpstreamFailure as failure:
            self._count(request, failure.verdict)
            raise RequestError(
                failure.verdict,
                str(failure),
                _BAD_GATEWAY,
            ) from failure
        self._count(request, Completed())
        yield AnswerHead(status, content_type)
        yield body

    def _call(
        self,
        request: ServiceRequest,
        service: PlainService,
    ) -> UpstreamCall:
        turn = next(self._turns) % len(service.addresses)
        headers = {
            'X-Request-Id': request.request_id,
            'X-Workspace': request.workspace,
        }
        if request.key:
            headers['Idempotency-Key'] = request.key
        if request.content_type:
            headers['Content-Type'] = request.content_type
        return UpstreamCall(
            service.addresses[turn],
            request.method,
            request.path,
            request.body,
            headers,
        )

    def _count(self, request: ServiceRequest, verdict: Verdict) -> None:
        labels = (
            ('workspace', request.workspace),
            ('service', request.service),
            ('verdict', verdict.code),
        )
        self._state.counters.add(CounterKey('service_calls', labels))


def _find_service(name: str, configuration: Configuration) -> PlainService:
    for service in configuration.services:
        if service.name == name and service.addresses:
            return service
    raise RequestError(
        NotRun(Reason.unknown_service),
        f'unknown service {name!r}',
        _NOT_FOUND,
    )
