"""Frames between daemons: a message and the number of its call."""

from __future__ import annotations

from attrs import frozen

from cowslipstep.model import CowslipstepError, Message


@frozen
class Frame:
    """A message on a link.

    Parameters
    ----------
    call
        Ties a reply to its call; zero for messages without a reply.
    reply
        Whether this is the reply.
    message
        What is said.
    """

    call: int
    reply: bool
    message: Message


class FrameError(CowslipstepError):
    """Bytes from a peer are no valid frame."""
