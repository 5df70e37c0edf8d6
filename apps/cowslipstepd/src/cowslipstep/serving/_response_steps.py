"""Steps of the response of one attempt, in the order of their arrival.

Each attempt that does not fail ends with ``ResponseEnd``, also if nothing
comes before it: a stream that is resumed after its last event has no more.
"""

from __future__ import annotations

from attrs import frozen

from cowslipstep.daemon._stream_progress import StreamProgress
from cowslipstep.fleet import ResponseHead
from cowslipstep.serving._response_timer import AttemptStart


@frozen
class WholeResponse:
    """A response that is passed on in one piece.

    Parameters
    ----------
    head
        Its head, with the length of the body.
    body
        The whole body.
    """

    head: ResponseHead
    body: bytes


@frozen
class StreamedEvents:
    """Whole events of a stream, in the order of their ids.

    Parameters
    ----------
    head
        Head of the stream.
    events
        The events as received.
    progress
        What the caller has of the stream once they are passed on.
    start
        When the attempt was sent.
    is_first
        Whether they are the first ones of the attempt.
    """

    head: ResponseHead
    events: bytes
    progress: StreamProgress
    start: AttemptStart
    is_first: bool


@frozen
class ResponseEnd:
    """The response has ended properly; nothing follows."""


ResponseStep = WholeResponse | StreamedEvents | ResponseEnd
