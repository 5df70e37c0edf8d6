"""Relay of an upstream's answer, whole or event by event."""

from __future__ import annotations

from collections.abc import Iterator

import urllib3
from attrs import frozen

from cowslipstep.daemon._run_state import RunState
from cowslipstep.daemon._streams import StreamProgress, first_id
from cowslipstep.daemon._upstream import (
    UpstreamCall,
    UpstreamFailure,
    UpstreamPool,
    read_pieces,
)
from cowslipstep.model import MayHaveRun, Reason

_OK = 200


@frozen
class ResponseHead:
    """Status and content type of an answer about to begin.

    ``length`` is ``None`` for a stream; ``replayed`` is true for the kept
    answer of an order that ran before.
    """

    status: int
    content_type: str
    length: int | None = None
    replayed: bool = False


Piece = ResponseHead | bytes


def relay_whole(
    upstreams: UpstreamPool,
    call: UpstreamCall,
    run: RunState,
) -> Iterator[Piece]:
    """Yield the head and the body of an answer that has come in whole.

    Raises
    ------
    UpstreamFailure
        If there is no answer or it breaks off.
    """
    with upstreams.open(call) as answer:
        yield from _whole(answer, run)


def relay_stream(
    upstreams: UpstreamPool,
    call: UpstreamCall,
    run: RunState,
) -> Iterator[Piece]:
    """Yield the head of a stream, unless it was passed on, then its events.

    Raises
    ------
    UpstreamFailure
        If there is no answer, or the stream breaks off before its end.
    """
    with upstreams.open(call) as answer:
        if answer.status != _OK:
            yield from _whole(answer, run)
            return
        yield from _events(answer, run)
    if not run.stream.ended:
        raise UpstreamFailure(
            MayHaveRun(Reason.upstream_cut),
            'the stream ended early',
        )


def _whole(
    answer: urllib3.BaseHTTPResponse,
    run: RunState,
) -> Iterator[Piece]:
    body = b''.join(read_pieces(answer))
    if run.begun:
        raise UpstreamFailure(
            MayHaveRun(Reason.upstream_failed),
            f'the stream was not resumed: status {answer.status}',
        )
    run.begun = True
    yield ResponseHead(answer.status, _content_type(answer), len(body))
    yield body


def _events(
    answer: urllib3.BaseHTTPResponse,
    run: RunState,
) -> Iterator[Piece]:
    resumed = bool(run.stream.last_id)
    for piece in read_pieces(answer):
        if resumed:
            _raise_if_restarted(run.stream, piece)
            resumed = False
        whole = run.stream.take(piece)
        if whole and not run.begun:
            run.begun = True
            yield ResponseHead(answer.status, _content_type(answer))
        if whole:
            yield whole


def _raise_if_restarted(stream: StreamProgress, piece: bytes) -> None:
    if first_id(piece) in {stream.first_id, stream.last_id}:
        raise UpstreamFailure(
            MayHaveRun(Reason.upstream_failed),
            'the engine began again instead of resuming',
        )


def _content_type(answer: urllib3.BaseHTTPResponse) -> str:
    return answer.headers.get('Content-Type', '')
