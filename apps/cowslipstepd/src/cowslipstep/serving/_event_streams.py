"""Streams of whole events, of one attempt each."""

from __future__ import annotations

from collections.abc import Iterator

from attrs import evolve, frozen

from cowslipstep.daemon._part_limit import MAX_EVENT_BYTES
from cowslipstep.daemon._read_limits import Silence
from cowslipstep.daemon._stream_progress import StreamProgress
from cowslipstep.daemon._upstream_failures import (
    ConnectionEnded,
    UpstreamFailure,
)
from cowslipstep.fleet import ResponseHead
from cowslipstep.model import MayHaveRun, Reason
from cowslipstep.serving._delivery_state import DeliveryState
from cowslipstep.serving._response_steps import (
    ResponseEnd,
    ResponseStep,
    StreamedEvents,
)
from cowslipstep.serving._response_timer import AttemptStart
from cowslipstep.serving._upstream_http import OpenResponse

# Silence after which another upstream is tried, as a multiple of the longest
# planned pause of a stream.
_SILENCE_GAP_FACTOR = 2
_MIN_SILENCE_TIMEOUT_S = 0.4


@frozen
class BegunResponse:
    """The response of one attempt, after its head was read.

    Parameters
    ----------
    head
        The head.
    response
        The response.
    silence
        What happens while the upstream sends no whole event; it begins that
        long after the head of a stream.
    start
        When the request was sent.
    """

    head: ResponseHead
    response: OpenResponse
    silence: Silence
    start: AttemptStart

    def event_steps(self, delivery: DeliveryState) -> Iterator[ResponseStep]:
        """Read it as a stream: yield whole events, then the end.

        Raises
        ------
        UpstreamFailure
            If the stream breaks off, or does not end in time.
        """
        # Another attempt may begin and fail while this one is silent, so each
        # one holds its own incomplete event.
        progress = delivery.progress.resumed()
        has_begun = False
        # Only whole events end a silence, so that an upstream that sends a byte
        # now and then does not hold the request.
        silent_at_s = delivery.now_s + self.silence.after_s
        while chunk := self._read_chunk(delivery, silent_at_s):
            events = progress.add_chunk(chunk)
            _raise_if_unbounded(delivery, progress)
            if events:
                if not has_begun:
                    _raise_if_restarted(delivery.progress, events)
                yield StreamedEvents(
                    self.head,
                    events,
                    # Moves on only if these events are passed on.
                    evolve(progress),
                    self.start,
                    is_first=not has_begun,
                )
                has_begun = True
                silent_at_s = delivery.now_s + _silence_timeout_s(delivery)
        if progress.has_partial_event:
            raise ConnectionEnded(
                MayHaveRun(Reason.upstream_cut),
                'stream ended within an event, expected its end',
            )
        if not has_begun:
            _raise_unless_nothing_follows(delivery, self.response)
        yield ResponseEnd()

    def _read_chunk(self, delivery: DeliveryState, silent_at_s: float) -> bytes:
        return self.response.read_chunk(
            delivery.remaining_s,
            evolve(self.silence, after_s=silent_at_s - delivery.now_s),
        )


def _raise_unless_nothing_follows(
    delivery: DeliveryState, response: OpenResponse
) -> None:
    """Raise unless a stream without events states that no others follow.

    A stream that is resumed after its last event has none.
    """
    if not delivery.response_begun:
        raise ConnectionEnded(
            MayHaveRun(Reason.upstream_cut),
            'stream ended before its first event',
        )
    if response.ends_with_connection:
        # The end of an upstream looks like the end of its stream.
        raise ConnectionEnded(
            MayHaveRun(Reason.upstream_cut),
            'resumed stream ended with its connection, expected an event first',
        )
    if delivery.progress.has_partial_event:
        raise UpstreamFailure(
            MayHaveRun(Reason.upstream_failed),
            'resumed stream has no more events, but another one had begun',
        )


def _silence_timeout_s(delivery: DeliveryState) -> float:
    max_gap_s = delivery.routed.route.max_gap_s
    return max(_SILENCE_GAP_FACTOR * max_gap_s, _MIN_SILENCE_TIMEOUT_S)


def _raise_if_restarted(passed_on: StreamProgress, events: bytes) -> None:
    if passed_on.is_restarted_by(events):
        raise UpstreamFailure(
            MayHaveRun(Reason.upstream_failed),
            'the upstream restarted the stream instead of resuming it',
        )


def _raise_if_unbounded(
    delivery: DeliveryState, progress: StreamProgress
) -> None:
    """Raise if a stream goes on after the deadline, or an event has no end."""
    if delivery.overdue:
        raise UpstreamFailure(
            MayHaveRun(Reason.upstream_timeout),
            'stream goes on after the deadline of the request',
        )
    if progress.partial_event_bytes > MAX_EVENT_BYTES:
        raise UpstreamFailure(
            MayHaveRun(Reason.upstream_cut),
            f'expected events of at most {MAX_EVENT_BYTES} bytes, got more',
        )
