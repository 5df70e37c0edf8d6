"""Delivery of one request: tries until it ends, on discovered upstreams."""

from __future__ import annotations

from collections.abc import Iterator

import eventlet

from cowslipstep.daemon._upstream_failures import UpstreamFailure
from cowslipstep.delivery import combine_verdicts, may_resume, may_retry
from cowslipstep.fleet import CallerRequest
from cowslipstep.model import MayHaveRun, NotRun, Reason, RequestError
from cowslipstep.serving._metrics import RequestMetrics
from cowslipstep.serving._request_log import log_failure, log_try
from cowslipstep.serving._sending import Piece, UpstreamSender
from cowslipstep.serving._serving_run import ServingRun, start_run
from cowslipstep.serving._state import ServingState
from cowslipstep.serving._targets import Target, TargetChoice

_BAD_GATEWAY = 502
_UNAVAILABLE = 503
_GATEWAY_TIMEOUT = 504
# Refusals do not count as runs; this many bound the time spent on them.
_MAX_TRIES = 5
# Between two looks for room for a stream that has begun.
_RESUME_WAIT_S = 0.1
# When a refused request may find a free upstream.
_RETRY_AFTER_S = 0.4


class RouteDelivery:
    """Delivers requests on routes.

    Parameters
    ----------
    state
        State of the daemon.
    metrics
        Counts how requests end.
    """

    def __init__(self, state: ServingState, metrics: RequestMetrics) -> None:
        self._state = state
        self._metrics = metrics
        self._targets = TargetChoice(state)
        self._sender = UpstreamSender(state)

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
        self._state.retries(run.routed.service).record_request()
        self._targets.note_demand(run)
        with self._metrics.followed(run):
            yield from self._tries(run)

    def _tries(self, run: ServingRun) -> Iterator[Piece]:
        while True:
            target = self._next_target(run)
            run.tries += 1
            log_try(self._state, run, target)
            try:
                yield from self._sender.send(run, target)
            except UpstreamFailure as failure:
                self._note_failure(run, target, failure)
                continue
            return

    def _next_target(self, run: ServingRun) -> Target:
        if run.overdue or run.tries >= _MAX_TRIES:
            raise _end(run)
        target = self._choose(run)
        match target:
            case NotRun():
                run.verdict = combine_verdicts(run.verdict, target)
                raise _end(run)
            case Target():
                if run.tries and not self._may_go_on(run):
                    raise _end(run)
                return target

    def _choose(self, run: ServingRun) -> Target | NotRun:
        """Return an upstream; a stream that has begun waits for one."""
        target = self._targets.choose(run)
        while run.begun and not run.overdue and isinstance(target, NotRun):
            eventlet.sleep(_RESUME_WAIT_S)
            target = self._targets.choose(run)
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
                response_begun=False,
            )
        return allowed and self._state.retries(run.routed.service).spend()

    def _note_failure(
        self,
        run: ServingRun,
        target: Target,
        failure: UpstreamFailure,
    ) -> None:
        name = target.runner.name
        run.note_failure(name, failure.verdict)
        self._metrics.note_failure(run, failure)
        self._state.suspicions.strike(name, failure.verdict.reason)
        log_failure(run, target, failure)


def _end(run: ServingRun) -> RequestError:
    match run.verdict:
        case MayHaveRun() as verdict:
            status = _GATEWAY_TIMEOUT if run.overdue else _BAD_GATEWAY
            return RequestError(verdict, 'the request may have run', status)
        case NotRun() as refusal:
            return _refusal(refusal)
        case _:
            return _refusal(NotRun(Reason.no_capacity))


def _refusal(refusal: NotRun) -> RequestError:
    return RequestError(
        NotRun(refusal.reason, refusal.retry_after_s or _RETRY_AFTER_S),
        'the request has not run',
        _UNAVAILABLE,
    )
