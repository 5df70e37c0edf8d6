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
_HOP_BY_HOP = frozenset(('connection', 'content-length', 'transfer-encoding'))


class HeaderDialect:
    """Encodes the headers of requests and responses by their plain names."""

    def request_id(self, headers: Iterable[Header]) -> str:
        """Return the id of a caller's request."""
        return {name.lower(): text for name, text in headers}[_REQUEST_ID]

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
            shared_prompt_parts=tuple(named.get('parts', '').split()),
        )

    def headers(self, sent: UpstreamRequest) -> dict[str, str]:
        """Encode the headers of a request to a runner."""
        headers = {
            'Host': sent.request.host,
            _REQUEST_ID: sent.request.request_id,
            'Content-Length': str(len(sent.request.body)),
            'Parts': ' '.join(sent.request.shared_prompt_parts),
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
        listed = tuple(headers)
        named = {name.lower(): text for name, text in listed}
        return ResponseHead(
            status,
            tuple(
                header
                for header in listed
                if header[0].lower() not in _HOP_BY_HOP
            ),
            _refusal(named),
            retry_after=named.get('retry-after', ''),
        )

    def own_headers(self, request_id: str) -> tuple[Header, ...]:
        """Encode the headers of a response of the daemon itself."""
        return ((_REQUEST_ID, request_id),)


def _refusal(named: dict[str, str]) -> NotRun | MayHaveRun | None:
    if 'not-run' in named:
        return NotRun(Reason.upstream_refused)
    if 'signature' not in named:
        return MayHaveRun(Reason.upstream_failed)
    return None
