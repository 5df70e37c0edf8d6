"""State of one request over all its attempts."""

from __future__ import annotations

import time

from attrs import define, field

from cowslipstep.daemon._stream_progress import StreamProgress
from cowslipstep.delivery import combine_verdicts
from cowslipstep.fleet import ResponseHead
from cowslipstep.model import MayHaveRun, NotRun
from cowslipstep.routing import RoutedRequest
from cowslipstep.serving._response_timer import ResponseTimer


@define
class DeliveryState:
    """One request from its arrival to the end of its response.

    Attributes
    ----------
    routed
        The request with its route.
    arrived_s
        Clock reading of its arrival.
    deadline_s
        Clock reading by which the response must be complete.
    possible_runs
        Upstreams that may have run it.
    avoided
        Upstreams that failed or were silent; no other attempt uses them.
    attempts
        Number of attempts so far.
    verdict
        Combined verdict of the failed attempts; ``None`` before a failure.
    response_begun_s
        Clock reading at which the caller was sent the first part of the
        response; zero before.
    head
        Head that the caller was sent; ``None`` before.
    progress
        The part of a stream that was passed on.
    is_trial
        Whether its prompt is refused, and it is let through to test that.
    needs_idle_upstream
        Whether only an upstream without other requests may be tried.
    timer
        Measures the parts of a streamed response.
    """

    routed: RoutedRequest
    arrived_s: float
    deadline_s: float
    possible_runs: set[str] = field(factory=set)
    avoided: set[str] = field(factory=set)
    attempts: int = 0
    verdict: NotRun | MayHaveRun | None = None
    response_begun_s: float = 0
    head: ResponseHead | None = None
    progress: StreamProgress = field(factory=StreamProgress)
    is_trial: bool = False
    needs_idle_upstream: bool = False
    timer: ResponseTimer = field(factory=ResponseTimer)

    @property
    def now_s(self) -> float:
        """Reading of the clock that all times refer to."""
        return time.monotonic()

    @property
    def response_begun(self) -> bool:
        """Whether the caller was sent a part of the response."""
        return self.response_begun_s > 0

    @property
    def remaining_s(self) -> float:
        """Time until the deadline; negative after it."""
        return self.deadline_s - self.now_s

    @property
    def overdue(self) -> bool:
        """Whether the deadline has passed."""
        return self.remaining_s <= 0

    @property
    def last_event_id(self) -> str:
        """Id of the event after which the next attempt resumes."""
        passed_on = self.progress.last_id.decode()
        return passed_on or self.routed.request.last_event_id

    def begin_response(self, head: ResponseHead) -> None:
        """Record that the caller is sent the first part of the response."""
        self.response_begun_s = self.now_s
        self.head = head

    def record_failure(self, name: str, verdict: NotRun | MayHaveRun) -> None:
        """Record a failed attempt at an upstream."""
        self.avoided.add(name)
        self.verdict = combine_verdicts(self.verdict, verdict)
        match verdict:
            case MayHaveRun():
                self.possible_runs.add(name)
            case NotRun():
                self.possible_runs.discard(name)


def start_delivery(routed: RoutedRequest, arrived_s: float) -> DeliveryState:
    """Return the state of a new request.

    The timeout of the caller counts if it is shorter than the route's.
    """
    timeout_s = routed.route.timeout_s
    if routed.request.timeout_s is not None:
        timeout_s = min(timeout_s, routed.request.timeout_s)
    return DeliveryState(routed, arrived_s, arrived_s + timeout_s)


def may_run_elsewhere(delivery: DeliveryState) -> bool:
    """Return whether another upstream may run it if the next attempt fails."""
    route = delivery.routed.route
    runs = len(delivery.possible_runs) + 1
    return route.repeatable and runs < route.max_attempts
