"""Requests and responses, independent of their encoding."""

from __future__ import annotations

from attrs import frozen

from cowslipstep.fleet._runners import DiscoveredRunner
from cowslipstep.model import MayHaveRun, NotRun

Header = tuple[str, str]
_CONTENT_TYPE = 'content-type'


@frozen
class CallerRequest:
    """A request of a caller.

    Parameters
    ----------
    request_id
        Unique for each time that a caller sends a request.
    host
        Host name that the request is for, without a port.
    method
        HTTP method.
    target
        Path and query, exactly as received.
    headers
        Headers that are forwarded unchanged.
    body
        The complete body.
    key
        API key of a workspace; ``None`` without one.
    timeout_s
        How long the caller waits, seconds; ``None`` if it sets no limit.
    model
        Model that shall run the request; empty for a service without models.
    prompt_tokens
        Number of tokens of the prompt.
    output_tokens
        Largest number of tokens of the response.
    last_event_id
        Event after which a stream resumes; empty from the start.
    shared_prompt_parts
        Ids of the parts of its prompt that other requests may share, in order.
    """

    request_id: str
    host: str
    method: str
    target: str
    headers: tuple[Header, ...]
    body: bytes
    key: str | None = None
    timeout_s: float | None = None
    model: str = ''
    prompt_tokens: int = 0
    output_tokens: int = 0
    last_event_id: str = ''
    shared_prompt_parts: tuple[str, ...] = ()

    @property
    def path(self) -> str:
        """Path of the target, without the query."""
        return self.target.partition('?')[0]


@frozen
class UpstreamRequest:
    """One attempt of a caller's request at an upstream.

    Parameters
    ----------
    request
        The caller's request.
    runner
        The only upstream that may run the attempt.
    workspace
        Workspace of the caller; empty for none.
    remaining_s
        Time that is left for the response, seconds.
    urgency
        Priority in the upstream's queue; 0 is served first.
    last_event_id
        Event after which a stream resumes; empty from the start.
    """

    request: CallerRequest
    runner: DiscoveredRunner
    workspace: str
    remaining_s: float
    urgency: int
    last_event_id: str = ''


@frozen
class ResponseHead:
    """Status and headers of an upstream's response.

    Parameters
    ----------
    status
        HTTP status.
    headers
        Headers for the caller.
    refusal
        Verdict if the request did not run, or if that is uncertain; ``None``
        if the upstream ran it.
    misdirected
        Whether the request reached an upstream that it was not meant for.
    for_other_request
        Whether the response carries the id of another request.
    retry_after
        ``Retry-After`` header of a response that turns the request away;
        empty for none.
    """

    status: int
    headers: tuple[Header, ...]
    refusal: NotRun | MayHaveRun | None = None
    misdirected: bool = False
    for_other_request: bool = False
    retry_after: str = ''

    @property
    def succeeded(self) -> bool:
        """Whether the upstream ran the request successfully."""
        return self.refusal is None and self.status // 100 == 2

    @property
    def media_type(self) -> str:
        """Media type of the body, without parameters; empty if not stated."""
        for name, text in self.headers:
            if name.lower() == _CONTENT_TYPE:
                return text.partition(';')[0].strip().lower()
        return ''

    def continues(self, begun: ResponseHead) -> bool:
        """Return whether its body may go on after a part of another one.

        Examples
        --------
        >>> stream = ResponseHead(200, (('Content-Type', 'text/event-stream'),))
        >>> page = ResponseHead(200, (('Content-Type', 'text/html'),))
        >>> stream.continues(stream), page.continues(stream)
        (True, False)
        """
        return (
            self.succeeded
            and self.status == begun.status
            and self.media_type == begun.media_type
        )
