"""One try of a request at an upstream."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator

from attrs import evolve

from cowslipstep.daemon._upstream_failures import UpstreamFailure
from cowslipstep.fleet import ResponseHead, UpstreamRequest
from cowslipstep.model import MayHaveRun, NotRun, Reason
from cowslipstep.serving._exchange import Exchange, OpenAnswer, open_answer
from cowslipstep.serving._serving_run import ServingRun
from cowslipstep.serving._state import ServingState
from cowslipstep.serving._targets import Target

Piece = ResponseHead | bytes

# A stream that is silent for this many of its longest pauses is cut off.
_SILENT_GAPS = 2
_MIN_SILENCE_S = 0.4


class UpstreamSender:
    """Sends requests to upstreams and passes their answers on.

    Parameters
    ----------
    state
        State of the daemon.
    """

    def __init__(self, state: ServingState) -> None:
        self._state = state
        self._dialect = state.dialects.requests

    def send(self, run: ServingRun, target: Target) -> Iterator[Piece]:
        """Yield the pieces of one try.

        Raises
        ------
        UpstreamFailure
            If there is no answer of a run, or it breaks off.
        """
        sent = _sent(run, target)
        with (
            self._counted(target) as waiting,
            open_answer(self._exchange(sent, target)) as answer,
        ):
            head = self._dialect.answer(sent, answer.status, answer.headers)
            _check(head)
            waiting.close()
            if run.routed.route.streaming and head.succeeded:
                yield from self._stream(run, target, head, answer)
            else:
                yield from _whole(run, head, answer)

    @contextlib.contextmanager
    def _counted(self, target: Target) -> Iterator[contextlib.ExitStack]:
        """Count a request as in progress, and as waiting until closed."""
        own = self._state.loads.own
        name = target.runner.name
        with own.counted(name), contextlib.ExitStack() as waiting:
            waiting.enter_context(own.waiting(name, target.urgency))
            yield waiting

    def _exchange(self, sent: UpstreamRequest, target: Target) -> Exchange:
        return Exchange(
            target.runner.address,
            sent.request.method,
            sent.request.target,
            self._dialect.headers(sent),
            sent.request.body,
            target.patience_s,
        )

    def _stream(
        self,
        run: ServingRun,
        target: Target,
        head: ResponseHead,
        answer: OpenAnswer,
    ) -> Iterator[Piece]:
        run.progress.drop_rest()
        piece = answer.read_piece(min(target.patience_s, run.remaining_s))
        while piece:
            self._state.suspicions.clear(target.runner.name)
            yield from _passed_on(run, head, piece)
            piece = answer.read_piece(self._silence_s(run))
        _check_end(run)
        if not run.begun:
            run.begin()
            yield head

    def _silence_s(self, run: ServingRun) -> float:
        """Return how long a stream may be silent before it is cut off.

        One that could not go on elsewhere is not ended for its silence.
        """
        route = run.routed.route
        last = len(run.runs) + 1 >= route.max_tries
        if last or not self._state.retries(run.routed.service).allows:
            return run.remaining_s
        silence_s = max(_SILENT_GAPS * route.max_gap_s, _MIN_SILENCE_S)
        return min(silence_s, run.remaining_s)


def _sent(run: ServingRun, target: Target) -> UpstreamRequest:
    return UpstreamRequest(
        run.routed.request,
        target.runner,
        run.routed.workspace,
        run.remaining_s,
        target.urgency,
        run.last_event_id,
    )


def _passed_on(
    run: ServingRun,
    head: ResponseHead,
    piece: bytes,
) -> Iterator[Piece]:
    whole = run.progress.take(piece)
    if not whole:
        return
    if not run.begun:
        run.begin()
        yield head
    yield whole


def _check(head: ResponseHead) -> None:
    if head.foreign:
        raise UpstreamFailure(
            MayHaveRun(Reason.upstream_cut),
            'answer to another request',
        )
    if head.misdirected:
        raise UpstreamFailure(
            NotRun(Reason.upstream_moved),
            'not the upstream, or no head of a group any more',
        )
    if head.refusal is not None:
        raise UpstreamFailure(head.refusal, f'status {head.status}')


def _check_end(run: ServingRun) -> None:
    if run.progress.has_rest:
        raise UpstreamFailure(
            MayHaveRun(Reason.upstream_cut),
            'the stream ended within an event',
        )


def _whole(
    run: ServingRun,
    head: ResponseHead,
    answer: OpenAnswer,
) -> Iterator[Piece]:
    body = answer.read_all(run.deadline_s)
    if run.begun:
        raise UpstreamFailure(
            MayHaveRun(Reason.upstream_failed),
            f'the stream was not resumed: status {head.status}',
        )
    run.begin()
    length = ('Content-Length', str(len(body)))
    yield evolve(head, headers=(*head.headers, length))
    yield body
