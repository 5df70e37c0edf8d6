"""Which part of a streamed response made it late."""

from __future__ import annotations

import enum

from attrs import frozen


class LatePart(enum.StrEnum):
    """Part of a response that took longer than it should have.

    Attributes
    ----------
    daemon
        The time from the arrival until the first attempt was sent.
    earlier_attempts
        Attempts before the one that responded: they failed or were silent.
    predicted
        The response was predicted to begin after its objective.
    first_event
        The response began later than predicted.
    pause
        A pause between two events.
    """

    daemon = 'daemon'
    earlier_attempts = 'earlier_attempts'
    predicted = 'predicted'
    first_event = 'first_event'
    pause = 'pause'


@frozen
class ResponseTimes:
    """Times of a streamed response, seconds.

    Parameters
    ----------
    before_attempts_s
        From the arrival until the first attempt was sent.
    earlier_attempts_s
        From then until the attempt that responded was sent.
    expected_s
        Predicted time from then to the first event.
    first_event_s
        Observed time from then to the first event.
    longest_pause_s
        Longest pause between two events.
    """

    before_attempts_s: float
    earlier_attempts_s: float
    expected_s: float
    first_event_s: float
    longest_pause_s: float = 0

    @property
    def begun_after_s(self) -> float:
        """Time from the arrival to the first event."""
        return (
            self.before_attempts_s
            + self.earlier_attempts_s
            + self.first_event_s
        )


def late_part(
    times: ResponseTimes, objective_s: float, max_gap_s: float
) -> LatePart | None:
    """Return the part that made a response late; ``None`` if it was on time.

    Parameters
    ----------
    times
        Times of the response.
    objective_s
        Time to the first event within which a response is on time.
    max_gap_s
        Longest pause of a stream that is on time; zero for no limit.

    Examples
    --------
    >>> late_part(ResponseTimes(0.02, 0, 0.1, 0.5), 0.4, 0.3)
    <LatePart.first_event: 'first_event'>
    >>> late_part(ResponseTimes(0.02, 0.6, 0.1, 0.1), 0.4, 0.3)
    <LatePart.earlier_attempts: 'earlier_attempts'>
    >>> late_part(ResponseTimes(0.02, 0, 0.1, 0.1, 0.9), 0.4, 0.3)
    <LatePart.pause: 'pause'>
    """
    if times.begun_after_s > objective_s:
        return _late_beginning(times, objective_s)
    if max_gap_s and times.longest_pause_s > max_gap_s:
        return LatePart.pause
    return None


def _late_beginning(times: ResponseTimes, objective_s: float) -> LatePart:
    excess_s = {
        LatePart.daemon: times.before_attempts_s,
        LatePart.earlier_attempts: times.earlier_attempts_s,
        LatePart.predicted: times.expected_s - objective_s,
        LatePart.first_event: times.first_event_s - times.expected_s,
    }
    return max(excess_s, key=excess_s.__getitem__)
