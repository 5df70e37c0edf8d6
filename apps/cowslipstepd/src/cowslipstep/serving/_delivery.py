"""Delivery of one request: tries until it ends, on discovered upstreams."""

from __future__ import annotations

import contextlib
import time
from collections.abc import Iterator

from attrs import evolve
from loguru import logger

from cowslipstep.daemon._upstream_failures import UpstreamFailure
from cowslipstep.delivery import combine_tries, may_resume, may_retry
from cowslipstep.model import (
    AnswerHead,
    CallerRequest,
    MayHaveRun,
    NotRun,
    Reason,
    RequestError,
    UpstreamRequest,
)
from cowslipstep.serving._exchange import Exchange, OpenAnswer, open_answer
from cowslipstep.serving._serving_run import ServingRun, start_run
from cowslipstep.serving._state import ServingState
from cowslipstep.serving._targets import Target, TargetChoice

Piece = AnswerHead | bytes

_BAD_GATEWAY = 502
_UNAVAILABLE = 503
_GATEWAY_TIMEOUT = 504
# Refusals do not count as runs; this many bound the time spent on them.
_MAX_TRIES = 5
# A stream that is silent for this many of its longest pauses is cut off.
_SILENT_GAPS = 2
_MIN_SILENCE_S = 0.4
# When a refused request may find a free upstream.
_RETRY_AFTER_S = 0.4


class RouteDelivery:
    """Delivers requests on routes.

    Parameters
    ----------
    state
        State of the daemon.
    """

    def __init__(self, state: ServingState) -> None:
        self._state = state
        self._targets = TargetChoice(state)

    def deliver(
        self,
        request: CallerRequest,
        arrived_s: float,
    ) -> Iterator[Piece]:
        """Yield the head of the answer, then its body piece by piece.

        Raises
        ------
        RequestError
            If the request fails; the answer must not look complete then.
        """
        table = self._state.configuration.table
        if table is None:
            raise _refusal(NotRun(Reason.not_ready))
        run = start_run(table.route(request), arrived_s)
        self._state.retries(run.routed.service).add_first_try()
        self._targets.note_demand(run)
        while True:
            target = self._next_target(run)
            run.tries += 1
            try:
                yield from self._once(run, target)
            except UpstreamFailure as failure:
                self._note_failure(run, target, failure)
                continue
            return

    def _next_target(self, run: ServingRun) -> Target:
        if run.overdue or run.tries >= _MAX_TRIES:
            raise _end(run)
        target = self._targets.choose(run)
        match target:
            case NotRun():
                run.verdict = combine_tries(run.verdict, target)
                raise _end(run)
        if run.tries and not self._may_go_on(run):
            raise _end(run)
        return target

    def _may_go_on(self, run: ServingRun) -> bool:
        verdict = run.verdict
        route = run.routed.route
        if verdict is None or len(run.runs) >= route.max_tries:
            return False
        if run.begun:
            allowed = may_resume(verdict, idempotent=route.repeatable)
        else:
            allowed = may_retry(
                verdict,
                idempotent=route.repeatable,
                begun=False,
            )
        return allowed and self._state.retries(run.routed.service).take()

    def _once(self, run: ServingRun, target: Target) -> Iterator[Piece]:
        name = target.runner.name
        sent = self._sent(run, target)
        with (
            self._state.loads.counted(name),
            self._waiting(target) as waiting,
            open_answer(self._exchange(sent, target)) as answer,
        ):
            head = self._state.dialects.requests.answer(
                sent,
                answer.status,
                answer.headers,
            )
            _check(head)
            waiting.close()
            if run.streaming and head.succeeded:
                yield from self._stream(run, target, head, answer)
            else:
                yield from _whole(run, head, answer)

    @contextlib.contextmanager
    def _waiting(self, target: Target) -> Iterator[contextlib.ExitStack]:
        """Count a request as waiting until its answer begins."""
        with contextlib.ExitStack() as waiting:
            loads = self._state.loads
            waiting.enter_context(
                loads.waiting(target.runner.name, target.urgency),
            )
            yield waiting

    def _sent(self, run: ServingRun, target: Target) -> UpstreamRequest:
        return UpstreamRequest(
            run.routed.request,
            target.runner,
            run.routed.workspace,
            run.remaining_s,
            target.urgency,
            run.last_event_id,
        )

    def _exchange(self, sent: UpstreamRequest, target: Target) -> Exchange:
        return Exchange(
            target.runner.address,
            sent.request.method,
            sent.request.target,
            self._state.dialects.requests.headers(sent),
            sent.request.body,
            target.patience_s,
        )

    def _stream(
        self,
        run: ServingRun,
        target: Target,
        head: AnswerHead,
        answer: OpenAnswer,
    ) -> Iterator[Piece]:
        silence_s = max(
            _SILENT_GAPS * run.routed.route.max_gap_s,
            _MIN_SILENCE_S,
        )
        wait_s = target.patience_s
        run.progress.drop_rest()
        while True:
            piece = answer.read_piece(min(wait_s, run.remaining_s))
            if not piece:
                break
            wait_s = silence_s
            self._state.suspicions.clear(target.runner.name)
            yield from _passed_on(run, head, piece)
        _check_end(run)
        if not run.begun:
            run.begun = True
            yield head

    def _note_failure(
        self,
        run: ServingRun,
        target: Target,
        failure: UpstreamFailure,
    ) -> None:
        name = target.runner.name
        run.note_failure(name, failure.verdict)
        self._state.suspicions.strike(name, failure.verdict.reason)
        logger.bind(
            request_id=run.routed.request.request_id,
            upstream=name,
            verdict=failure.verdict.code,
            reason=failure.verdict.reason.value,
            begun=run.begun,
            expected_s=round(target.expected_s, 3),
            elapsed_s=round(time.monotonic() - run.arrived_s, 3),
        ).info('try failed: {}', failure)


def _passed_on(
    run: ServingRun,
    head: AnswerHead,
    piece: bytes,
) -> Iterator[Piece]:
    whole = run.progress.take(piece)
    if not whole:
        return
    if not run.begun:
        run.begun = True
        yield head
    yield whole


def _check(head: AnswerHead) -> None:
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
    head: AnswerHead,
    answer: OpenAnswer,
) -> Iterator[Piece]:
    body = answer.read_all(run.deadline_s)
    if run.begun:
        raise UpstreamFailure(
            MayHaveRun(Reason.upstream_failed),
            f'the stream was not resumed: status {head.status}',
        )
    run.begun = True
    length = ('Content-Length', str(len(body)))
    yield evolve(head, headers=(*head.headers, length))
    yield body


def _end(run: ServingRun) -> RequestError:
    match run.verdict:
        case MayHaveRun() as verdict:
            status = _GATEWAY_TIMEOUT if run.overdue else _BAD_GATEWAY
            return RequestError(verdict, 'the request may have run', status)
        case NotRun() as refusal:
            return _refusal(refusal)
        case None:
            return _refusal(NotRun(Reason.no_capacity))


def _refusal(refusal: NotRun) -> RequestError:
    return RequestError(
        NotRun(refusal.reason, refusal.retry_after_s or _RETRY_AFTER_S),
        'the request has not run',
        _UNAVAILABLE,
    )
