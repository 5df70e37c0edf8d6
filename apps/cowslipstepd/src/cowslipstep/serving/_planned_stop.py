"""What a daemon still takes once its planned stop has begun."""

from __future__ import annotations

import math
import time

from attrs import define, field

from cowslipstep.model import NotRun, Reason
from cowslipstep.routing import RoutedRequest, UsualDurations

# Requests that arrive later than this after the stop began came on connections
# that their callers should have left.
_INTAKE_S = 3
# Callers may go to another daemon at once.
_RETRY_AFTER_S = 0.05


@define
class PlannedStop:
    """Times of a planned stop, and what is refused because of it.

    Attributes
    ----------
    begun_s
        Monotonic clock reading at which the stop began; infinite before.
    answer_by_s
        Monotonic clock reading by which all requests are answered.
    """

    begun_s: float = math.inf
    answer_by_s: float = math.inf
    _durations: UsualDurations = field(factory=UsualDurations)

    def begin(self, grace_s: float) -> None:
        """Begin the stop; all requests are answered within the grace."""
        self.begun_s = time.monotonic()
        self.answer_by_s = self.begun_s + grace_s

    def record_duration(self, route: str, duration_s: float) -> None:
        """Record how long a request took."""
        self._durations.record(route, duration_s)

    def refusal(self, routed: RoutedRequest) -> NotRun | None:
        """Return why a new request is refused, if it cannot end in time."""
        now_s = time.monotonic()
        route = routed.route
        usual_s = self._durations.usual_s(route.name, route.timeout_s)
        may_end = now_s + usual_s <= self.answer_by_s
        if may_end and now_s <= self.begun_s + _INTAKE_S:
            return None
        return NotRun(Reason.stopping, _RETRY_AFTER_S)
