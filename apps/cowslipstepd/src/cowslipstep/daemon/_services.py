"""Delivery of calls to plain services."""

from __future__ import annotations

from collections.abc import Generator, Iterator

from cowslipstep.daemon._keyed import KeyedRuns
from cowslipstep.daemon._outcomes import OutcomeLog, Timings, measured
from cowslipstep.daemon._relay import Piece, relay_whole
from cowslipstep.daemon._run_state import RunState, start_run
from cowslipstep.daemon._runner_slots import HeldRunner, RunnerSlots
from cowslipstep.daemon._service_requests import ServiceRequest, service_call
from cowslipstep.daemon._state import DaemonState
from cowslipstep.daemon._stream_errors import failed_request
from cowslipstep.daemon._tries import TryRefused
from cowslipstep.daemon._upstream import UpstreamFailure, UpstreamPool
from cowslipstep.delivery import RetryBudget, may_retry
from cowslipstep.model import Completed, NotRun, Reason


class ServiceCalls:
    """Sends calls to plain services, each to the least loaded runner.

    Parameters
    ----------
    state
        State of the daemon.
    keyed
        Runs orders with an idempotency key.
    """

    def __init__(self, state: DaemonState, keyed: KeyedRuns) -> None:
        self._runners = RunnerSlots()
        self._upstreams = UpstreamPool()
        self._keyed = keyed
        self._budget = RetryBudget()
        self._outcomes = OutcomeLog(state, 'service_calls')
        self._timings = Timings(state)

    def deliver(self, request: ServiceRequest) -> Iterator[Piece]:
        """Yield the head of the answer, then its body.

        Raises
        ------
        RequestError
            If the call fails.
        """
        run = start_run(request.timeout_s)
        labels = request.labels
        with self._outcomes.noted(labels, run):
            yield from measured(
                self._answer(request, run),
                self._timings,
                labels,
            )

    def _answer(
        self, request: ServiceRequest, run: RunState
    ) -> Iterator[Piece]:
        pieces = self._run(request, run)
        if request.order is None:
            return pieces
        return self._keyed.run(request.order, pieces, run)

    def _run(
        self,
        request: ServiceRequest,
        run: RunState,
    ) -> Generator[Piece, None, None]:
        self._budget.add_first_try()
        while run.verdict != Completed():
            try:
                yield from self._once(request, run)
            except UpstreamFailure as failure:
                run.note_failure(failure.verdict)
                if not self._goes_on(request, run, failure):
                    raise failed_request(run.verdict, str(failure)) from failure
                continue
            run.verdict = Completed()

    def _once(
        self,
        request: ServiceRequest,
        run: RunState,
    ) -> Iterator[Piece]:
        with self._runners.runner(request.target.service, run) as held:
            match held:
                case NotRun():
                    raise TryRefused(held, 'no runner has room')
                case HeldRunner():
                    yield from self._send(request, held, run)

    def _send(
        self,
        request: ServiceRequest,
        held: HeldRunner,
        run: RunState,
    ) -> Iterator[Piece]:
        run.avoid.append(str(held.address))
        call = service_call(request, held.address, run)
        if run.overdue:
            raise TryRefused(NotRun(Reason.deadline), 'the deadline has passed')
        run.note_sending()
        try:
            yield from relay_whole(self._upstreams, call, run)
        except UpstreamFailure:
            held.failed = True
            raise

    def _goes_on(
        self,
        request: ServiceRequest,
        run: RunState,
        failure: UpstreamFailure,
    ) -> bool:
        match failure:
            case TryRefused():
                return False
        allowed = may_retry(
            failure.verdict,
            idempotent=request.target.idempotent,
            begun=run.begun,
        )
        if not allowed or run.overdue or not self._budget.take():
            return False
        self._outcomes.count('retries', request.labels)
        return True
