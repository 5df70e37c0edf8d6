"""Measures the parts of one streamed response."""

from __future__ import annotations

from attrs import define, frozen

from cowslipstep.routing import ResponseTimes


@frozen
class AttemptStart:
    """When an attempt was sent, and when its response was predicted to begin.

    Parameters
    ----------
    sent_s
        Clock reading.
    expected_s
        Predicted time from then to the first event, seconds.
    """

    sent_s: float
    expected_s: float


@define
class ResponseTimer:
    """Clock readings of a request over all its attempts; zero before."""

    _first_sent_s: float = 0
    _first: AttemptStart | None = None
    _begun_s: float = 0
    _last_event_s: float = 0
    _longest_pause_s: float = 0

    def start_attempt(self, now_s: float, expected_s: float) -> AttemptStart:
        """Record that an attempt is sent."""
        self._first_sent_s = self._first_sent_s or now_s
        return AttemptStart(now_s, expected_s)

    def record_events(self, start: AttemptStart, now_s: float) -> None:
        """Record events of the attempt that was started so."""
        if self._first is None:
            self._first = start
            self._begun_s = now_s
        else:
            pause_s = now_s - self._last_event_s
            self._longest_pause_s = max(self._longest_pause_s, pause_s)
        self._last_event_s = now_s

    def times(self, arrived_s: float) -> ResponseTimes | None:
        """Return the times of the response; ``None`` if it has no event."""
        first = self._first
        if first is None:
            return None
        return ResponseTimes(
            self._first_sent_s - arrived_s,
            first.sent_s - self._first_sent_s,
            first.expected_s,
            self._begun_s - first.sent_s,
            self._longest_pause_s,
        )
