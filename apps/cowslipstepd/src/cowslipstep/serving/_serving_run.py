"""State of one request over its tries."""

from __future__ import annotations

import time

from attrs import define, field

from cowslipstep.daemon._streams import StreamProgress
from cowslipstep.delivery import combine_verdicts
from cowslipstep.model import MayHaveRun, NotRun
from cowslipstep.routing import RoutedRequest


@define
class ServingRun:
    """One request from its arrival to the end of its answer.

    Attributes
    ----------
    routed
        The request with its route.
    arrived_s
        Clock reading of its arrival.
    deadline_s
        Clock reading at which it has to be answered.
    runs
        Upstreams that may have run it.
    avoided
        Upstreams that failed it.
    verdict
        What is known over all tries; ``None`` before the first failure.
    begun_s
        Clock reading at which the caller was sent the first part of the
        answer; zero before.
    progress
        What was passed on of a stream.
    """

    routed: RoutedRequest
    arrived_s: float
    deadline_s: float
    runs: set[str] = field(factory=set)
    avoided: set[str] = field(factory=set)
    tries: int = 0
    verdict: NotRun | MayHaveRun | None = None
    begun_s: float = 0
    progress: StreamProgress = field(factory=StreamProgress)

    @property
    def now_s(self) -> float:
        """Reading of the clock by which the times are told."""
        return time.monotonic()

    @property
    def begun(self) -> bool:
        """Whether the caller was sent a part of the answer."""
        return self.begun_s > 0

    @property
    def remaining_s(self) -> float:
        """Time that is left."""
        return self.deadline_s - self.now_s

    @property
    def overdue(self) -> bool:
        """Whether no time is left."""
        return self.remaining_s <= 0

    @property
    def last_event_id(self) -> str:
        """Event after which the next try goes on."""
        passed_on = self.progress.last_id.decode()
        return passed_on or self.routed.request.last_event_id

    def begin(self) -> None:
        """Note that the caller is sent the first part of the answer."""
        self.begun_s = self.now_s

    def note_failure(self, name: str, verdict: NotRun | MayHaveRun) -> None:
        """Note what became of a try at an upstream."""
        self.avoided.add(name)
        self.verdict = combine_verdicts(self.verdict, verdict)
        match verdict:
            case MayHaveRun():
                self.runs.add(name)


def start_run(routed: RoutedRequest, arrived_s: float) -> ServingRun:
    """Return the state of a request that has just come."""
    timeout_s = routed.route.timeout_s
    if routed.request.timeout_s is not None:
        timeout_s = min(timeout_s, routed.request.timeout_s)
    return ServingRun(routed, arrived_s, arrived_s + timeout_s)
