"""Plain encoding of requests."""

from __future__ import annotations

from collections.abc import Iterable

from cowslipstep.fleet import (
    CallerRequest,
    Header,
    ResponseHead,
    UpstreamRequest,
)
from cowslipstep.model import MayHaveRun, NotRun, Reason
from cowslipstep_standins.takeovers._grouped_runner import MODEL

ID_HEADER = 'request-id'
LAST_EVENT_HEADER = 'last-event-id'
SIGNATURE_HEADER = 'signature'
NOT_RUN_HEADER = 'not-run'
_HOP_BY_HOP = frozenset(('connection', 'content-length', 'transfer-encoding'))
_USUAL_TOKENS = 10


class PlainRequests:
    """Encodes the headers of requests and responses by their plain names."""

    def request_id(self, headers: Iterable[Header]) -> str:
        """Return the id of a caller's request."""
        return _named(headers).get(ID_HEADER, '')

    def read(
        self, method: str, target: str, headers: Iterable[Header], body: bytes
    ) -> CallerRequest:
        """Decode a caller's request."""
        named = _named(headers)
        return CallerRequest(
            named[ID_HEADER],
            named['host'].partition(':')[0],
            method,
            target,
            (),
            body,
            model=MODEL,
            prompt_tokens=_USUAL_TOKENS,
            output_tokens=_USUAL_TOKENS,
        )

    def headers(self, sent: UpstreamRequest) -> dict[str, str]:
        """Encode the headers of a request to a runner."""
        return {
            'Host': sent.request.host,
            'Content-Length': str(len(sent.request.body)),
            ID_HEADER: sent.request.request_id,
            LAST_EVENT_HEADER: sent.last_event_id or '-1',
        }

    def response_head(
        self, _sent: UpstreamRequest, status: int, headers: Iterable[Header]
    ) -> ResponseHead:
        """Decode the status and headers of a runner's response."""
        listed = tuple(headers)
        kept = tuple(
            (name, text)
            for name, text in listed
            if name.lower() not in _HOP_BY_HOP
        )
        return ResponseHead(status, kept, _refusal(_named(listed)))

    def own_headers(self, request_id: str) -> tuple[Header, ...]:
        """Encode the headers of a response of the daemon itself."""
        return ((ID_HEADER, request_id),)


def _named(headers: Iterable[Header]) -> dict[str, str]:
    return {name.lower(): text for name, text in headers}


def _refusal(named: dict[str, str]) -> NotRun | MayHaveRun | None:
    if NOT_RUN_HEADER in named:
        return NotRun(Reason.upstream_refused)
    if SIGNATURE_HEADER not in named:
        return MayHaveRun(Reason.upstream_failed)
    return None
