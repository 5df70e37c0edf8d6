"""Delivery of completions: tries, verdicts, answers to callers."""

from __future__ import annotations

from collections.abc import Generator, Iterator

from cowslipstep.daemon._completions import CallerRequest
from cowslipstep.daemon._keyed import KeyedRuns
from cowslipstep.daemon._outcomes import OutcomeLog, Timings, measured
from cowslipstep.daemon._relay import Piece
from cowslipstep.daemon._run_state import RunState, start_run
from cowslipstep.daemon._slots import SlotService
from cowslipstep.daemon._state import DaemonState
from cowslipstep.daemon._stream_errors import error_event, failed_request
from cowslipstep.daemon._tries import (
    CompletionTries,
    GrantLapsed,
    TryRefused,
)
from cowslipstep.daemon._upstream import UpstreamFailure
from cowslipstep.delivery import RetryBudget, may_resume, may_retry
from cowslipstep.model import Completed

_MAX_RESUMES = 3


class DeliveryService:
    """Runs callers' requests on groups.

    Parameters
    ----------
    state
        State of the daemon.
    slots
        Gives slots.
    keyed
        Runs orders with an idempotency key.
    """

    def __init__(
        self,
        state: DaemonState,
        slots: SlotService,
        keyed: KeyedRuns,
    ) -> None:
        self._tries = CompletionTries(state, slots)
        self._keyed = keyed
        self._budget = RetryBudget()
        self._outcomes = OutcomeLog(state, 'requests')
        self._timings = Timings(state)

    def deliver(self, caller: CallerRequest) -> Iterator[Piece]:
        """Yield the head of the answer, then its body piece by piece.

        Raises
        ------
        RequestError
            If the request fails before the head was yielded.
        """
        run = start_run(caller.request.timeout_s)
        labels = caller.labels
        with self._outcomes.noted(labels, run):
            yield from measured(
                self._answer(caller, run),
                self._timings,
                labels,
            )

    def _answer(self, caller: CallerRequest, run: RunState) -> Iterator[Piece]:
        pieces = self._run(caller, run)
        if caller.order is None:
            return pieces
        return self._keyed.run(caller.order, pieces, run)

    def _run(
        self,
        caller: CallerRequest,
        run: RunState,
    ) -> Generator[Piece, None, None]:
        self._budget.add_first_try()
        while run.verdict != Completed():
            try:
                yield from self._tries.once(caller, run)
            except UpstreamFailure as failure:
                run.note_failure(failure.verdict)
                if not self._goes_on(caller, run, failure):
                    yield _end(caller, run, failure)
                    return
                continue
            run.verdict = Completed()

    def _goes_on(
        self,
        caller: CallerRequest,
        run: RunState,
        failure: UpstreamFailure,
    ) -> bool:
        match failure:
            case TryRefused():
                return False
            case GrantLapsed():
                self._outcomes.count('lapsed_grants', caller.labels)
                return not run.overdue
        if run.begun:
            return self._resumes(caller, run, failure)
        return self._retries(caller, run, failure)

    def _retries(
        self,
        caller: CallerRequest,
        run: RunState,
        failure: UpstreamFailure,
    ) -> bool:
        idempotent = caller.request.idempotent
        allowed = may_retry(failure.verdict, idempotent=idempotent, begun=False)
        if not allowed or run.overdue or not self._budget.take():
            return False
        self._outcomes.count('retries', caller.labels)
        return True

    def _resumes(
        self,
        caller: CallerRequest,
        run: RunState,
        failure: UpstreamFailure,
    ) -> bool:
        idempotent = caller.request.idempotent
        if not (caller.stream and run.resumes < _MAX_RESUMES):
            return False
        if not may_resume(failure.verdict, idempotent=idempotent):
            return False
        run.resumes += 1
        run.stream.drop_rest()
        self._outcomes.count('resumes', caller.labels)
        return True


def _end(
    caller: CallerRequest,
    run: RunState,
    failure: UpstreamFailure,
) -> bytes:
    request_id = caller.request.request_id
    if not run.begun:
        raise failed_request(run.verdict, str(failure)) from failure
    return error_event(run.verdict, str(failure), request_id)
