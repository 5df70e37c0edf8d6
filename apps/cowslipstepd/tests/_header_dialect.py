"""A dialect whose headers have plain names."""

from __future__ import annotations

from collections.abc import Iterable

from cowslipstep.fleet import (
    CallerRequest,
    Header,
    ResponseHead,
    UpstreamRequest,
)
from cowslipstep.model import MayHaveRun, NotRun, Reason

# Model of all requests.
MODEL = 'small'
_REQUEST_ID = 'request-id'


class HeaderDialect:
    """Encodes the headers of requests and responses by their plain names."""

    def read(
        self,
        method: str,
        target: str,
        headers: Iterable[Header],
        body: bytes,
    ) -> CallerRequest:
        """Decode a caller's request."""
        named = {name.lower(): text for name, text in headers}
        return CallerRequest(
            named[_REQUEST_ID],
            named['host'],
            method,
            target,
            (),
            body,
            model=MODEL,
            prompt_tokens=10,
            output_tokens=10,
            last_event_id=named.get('last-event-id', ''),
        )

    def headers(self, sent: UpstreamRequest) -> dict[str, str]:
        """Encode the headers of a request to a runner."""
        headers = {
            'Host': sent.request.host,
            _REQUEST_ID: sent.request.request_id,
            'Content-Length': str(len(sent.request.body)),
        }
        if sent.last_event_id:
            headers['Last-Event-Id'] = sent.last_event_id
        return headers

    def response_head(
        self,
        _sent: UpstreamRequest,
        status: int,
        headers: Iterable[Header],
    ) -> ResponseHead:
        """Decode the status and headers of a runner's response."""
        named = {name.lower(): text for name, text in headers}
        refusal: NotRun | MayHaveRun | None = None
        if 'not-run' in named:
            refusal = NotRun(Reason.upstream_refused)
        elif 'signature' not in named:
            refusal = MayHaveRun(Reason.upstream_failed)
        forwarded = (('Signature', named.get('signature', '')),)
        return ResponseHead(status, forwarded, refusal)

    def own_headers(self, request_id: str) -> tuple[Header, ...]:
        """Encode the headers of a response of the daemon itself."""
        return ((_REQUEST_ID, request_id),)
