"""How far a request has come and what may be said of it now."""

from __future__ import annotations

import time

from attrs import define, field

from cowslipstep.daemon._streams import StreamProgress
from cowslipstep.delivery import combine_verdicts
from cowslipstep.model import MayHaveRun, NotRun, Reason, Verdict

_RESUME_TIMEOUT_S = 10
_MIN_TIMEOUT_S = 0.001


@define
class RunState:
    """State of one request over all its tries.

    Attributes
    ----------
    deadline_s
        When the answer must have begun, by the monotonic clock.
    begun
        Whether the caller has received a part of the answer.
    verdict
        What is true of the request if it ends now.
    avoid
        Groups or runners that were tried.
    resumes
        How often the stream was opened again.
    stream
        What was passed on of a stream.
    """

    deadline_s: float
    begun: bool = False
    verdict: Verdict = NotRun(Reason.caller_gone)
    avoid: list[str] = field(factory=list)
    resumes: int = 0
    stream: StreamProgress = field(factory=StreamProgress)
    _failed: NotRun | MayHaveRun | None = None

    @property
    def remaining_s(self) -> float:
        """Seconds left for the next try to begin its answer."""
        if self.begun:
            return _RESUME_TIMEOUT_S
        return max(_MIN_TIMEOUT_S, self.deadline_s - time.monotonic())

    @property
    def overdue(self) -> bool:
        """Whether the answer should have begun by now."""
        return not self.begun and time.monotonic() > self.deadline_s

    def note_sending(self) -> None:
        """Note that an upstream is about to receive the request."""
        sending = MayHaveRun(Reason.caller_gone)
        self.verdict = combine_verdicts(self._failed, sending)

    def note_failure(self, verdict: NotRun | MayHaveRun) -> None:
        """Note that a try has failed."""
        combined = combine_verdicts(self._failed, verdict)
        self._failed = combined
        self.verdict = combined


def start_run(timeout_s: float) -> RunState:
    """Return the state of a request that has just come in."""
    return RunState(time.monotonic() + timeout_s)
