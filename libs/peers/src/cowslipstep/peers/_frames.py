"""Frames between daemons: a message and its call number."""

from __future__ import annotations

from attrs import frozen

from cowslipstep.model import CowslipstepError, Message


@frozen
class Frame:
    """A message on a link.

    Parameters
    ----------
    call
        Number of the call, repeated in its reply; zero for a message that
        needs no reply.
    reply
        Whether the message is the reply to the call.
    message
        The message.
    """

    call: int
    reply: bool
    message: Message


class FrameError(CowslipstepError):
    """Bytes from a peer are not a valid frame."""
