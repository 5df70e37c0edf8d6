"""Requests and answers as decisions see them, without encoding."""

from __future__ import annotations

from attrs import frozen

from cowslipstep.fleet._runners import DiscoveredRunner
from cowslipstep.model import MayHaveRun, NotRun

Header = tuple[str, str]


@frozen
class CallerRequest:
    """A request of a caller.

    Parameters
    ----------
    request_id
        Unique for each send of a caller.
    host
        Host name that it is for, without a port.
    method
        HTTP method.
    target
        Path and query, exactly as received.
    headers
        Headers that are passed on unchanged.
    body
        The whole body.
    key
        Key of a workspace; ``None`` without one.
    timeout_s
        How long the caller waits; ``None`` if it does not say.
    model
        Model that shall run it; empty for a plain service.
    prompt_tokens
        Length of the prompt.
    output_tokens
        Largest length of the answer.
    last_event_id
        Event after which a stream goes on; empty from the start.
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

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition('?')[0]


@frozen
class UpstreamRequest:
    """One send of a caller's request to an upstream.

    Parameters
    ----------
    request
        The caller's request.
    runner
        The upstream that shall run it, and no other.
    workspace
        Workspace of the caller; empty for none.
    remaining_s
        Time that is left for the answer.
    urgency
        Place in the upstream's queue; 0 goes first.
    last_event_id
        Event after which a stream goes on; empty from the start.
    """

    request: CallerRequest
    runner: DiscoveredRunner
    workspace: str
    remaining_s: float
    urgency: int
    last_event_id: str = ''


@frozen
class ResponseHead:
    """Status and headers of an upstream's answer.

    Parameters
    ----------
    status
        HTTP status.
    headers
        Headers for the caller.
    refusal
        What the answer says of the request, if it is no answer of a run;
        ``None`` if the upstream ran it.
    misdirected
        Whether another upstream than the expected one refused.
    foreign
        Whether it answers another request.
    """

    status: int
    headers: tuple[Header, ...]
    refusal: NotRun | MayHaveRun | None = None
    misdirected: bool = False
    foreign: bool = False

    @property
    def succeeded(self) -> bool:
        """Whether the upstream ran the request with success."""
        return self.refusal is None and self.status // 100 == 2
