"""State of one request over all its attempts."""

from __future__ import annotations

import time

from attrs import define, field

from cowslipstep.daemon._stream_progress import StreamProgress
from cowslipstep.delivery import combine_verdicts
from cowslipstep.model import MayHaveRun, NotRun, Reason, Verdict

_RESUME_TIMEOUT_S = 10
_MIN_ATTEMPT_TIMEOUT_S = 0.001


@define
class RunState:
    """Progress and verdict of one request over all its attempts.

    Attributes
    ----------
    deadline_s
        Reading of the monotonic clock by which the response must begin.
    response_begun
        Whether the caller was sent a part of the response.
    verdict
        Verdict of the request if it ended now.
    attempted_upstreams
        Groups or runners of the attempts so far.
    resume_count
        Number of times that the stream was resumed.
    stream_progress
        The part of a stream that was passed on to the caller.
    """

    deadline_s: float
    response_begun: bool = False
    verdict: Verdict = NotRun(Reason.caller_gone)
    attempted_upstreams: list[str] = field(factory=list)
    resume_count: int = 0
    stream_progress: StreamProgress = field(factory=StreamProgress)
    _failed_attempts_verdict: NotRun | MayHaveRun | None = None

    @property
    def remaining_s(self) -> float:
        """Time in which the next attempt must begin its response, seconds."""
        if self.response_begun:
            return _RESUME_TIMEOUT_S
        return max(_MIN_ATTEMPT_TIMEOUT_S, self.deadline_s - time.monotonic())

    @property
    def overdue(self) -> bool:
        """Whether the deadline has passed before the response began."""
        return not self.response_begun and time.monotonic() > self.deadline_s

    def record_sending(self) -> None:
        """Record that the request is about to be sent to an upstream."""
        sending = MayHaveRun(Reason.caller_gone)
        self.verdict = combine_verdicts(self._failed_attempts_verdict, sending)

    def record_failure(self, verdict: NotRun | MayHaveRun) -> None:
        """Record the verdict of a failed attempt."""
        combined = combine_verdicts(self._failed_attempts_verdict, verdict)
        self._failed_attempts_verdict = combined
        self.verdict = combined


def start_run(timeout_s: float) -> RunState:
    """Return the state of a request that was just received."""
    return RunState(time.monotonic() + timeout_s)
