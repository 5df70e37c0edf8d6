"""Relay of an upstream's response, buffered or event by event."""

from __future__ import annotations

from collections.abc import Iterator

from attrs import frozen

from cowslipstep.daemon._held_responses import HeldResponse
from cowslipstep.daemon._part_limit import (
    MAX_BODY_BYTES,
    MAX_EVENT_BYTES,
    PartLimit,
)
from cowslipstep.daemon._run_state import RunState
from cowslipstep.daemon._stream_progress import StreamProgress
from cowslipstep.daemon._upstream import (
    OpenCall,
    UpstreamCall,
    UpstreamFailure,
    open_call,
)
from cowslipstep.model import MayHaveRun, Reason

_OK = 200


@frozen
class ResponseHead:
    """Status and headers of a response that is about to begin.

    ``content_length`` is ``None`` for a stream; ``is_replayed`` is true for
    the stored response of an order that ran before.
    """

    status: int
    content_type: str
    content_length: int | None = None
    is_replayed: bool = False


ResponsePart = ResponseHead | bytes


def relay_buffered(
    call: UpstreamCall,
    run: RunState,
) -> Iterator[ResponsePart]:
    """Yield the head and the body of a response once it is complete.

    Raises
    ------
    UpstreamFailure
        If there is no response or it is incomplete.
    """
    with open_call(call) as response:
        yield from _buffered(response, run, call.read_timeout_s)


def relay_stream(
    call: UpstreamCall,
    run: RunState,
) -> Iterator[ResponsePart]:
    """Yield the head of a stream, unless the caller has it, then its events.

    Raises
    ------
    UpstreamFailure
        If there is no response, or the stream ends before its end event.
    """
    with open_call(call) as response:
        if response.status != _OK:
            yield from _buffered(response, run, call.read_timeout_s)
            return
        yield from _events(response, run, call.read_timeout_s)
    if not run.stream_progress.ended:
        raise UpstreamFailure(
            MayHaveRun(Reason.upstream_cut),
            'the stream ended before its end event',
        )


def _buffered(
    response: OpenCall,
    run: RunState,
    timeout_s: float,
) -> Iterator[ResponsePart]:
    limit = PartLimit(MAX_BODY_BYTES, timeout_s)
    with HeldResponse() as held:
        for chunk in response.read_chunks():
            held.add(chunk)
            limit.check(len(held))
        body = bytes(held)
    if run.response_begun:
        raise UpstreamFailure(
            MayHaveRun(Reason.upstream_failed),
            f'the upstream did not resume the stream: status {response.status}',
        )
    run.response_begun = True
    yield ResponseHead(response.status, response.content_type, len(body))
    yield body


def _events(
    response: OpenCall,
    run: RunState,
    timeout_s: float,
) -> Iterator[ResponsePart]:
    limit = PartLimit(MAX_EVENT_BYTES, timeout_s)
    check_resumption = bool(run.stream_progress.last_id)
    for chunk in response.read_chunks():
        if check_resumption:
            _raise_if_restarted(run.stream_progress, chunk)
            check_resumption = False
        events = run.stream_progress.add_chunk(chunk)
        if events and not run.response_begun:
            run.response_begun = True
            yield ResponseHead(response.status, response.content_type)
        limit.check(run.stream_progress.partial_event_bytes)
        if events:
            yield events
            limit.restart()


def _raise_if_restarted(stream: StreamProgress, chunk: bytes) -> None:
    if stream.is_restarted_by(chunk):
        raise UpstreamFailure(
            MayHaveRun(Reason.upstream_failed),
            'the upstream restarted the stream instead of resuming it',
        )
