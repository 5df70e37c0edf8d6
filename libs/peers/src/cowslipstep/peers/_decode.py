"""Decoding of frames from packed Cap'n Proto."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import capnp

from cowslipstep.model import Message
from cowslipstep.peers._decode_grants import decode_grant_message
from cowslipstep.peers._decode_loads import decode_load_message
from cowslipstep.peers._decode_membership import decode_membership_message
from cowslipstep.peers._decode_orders import decode_order_message
from cowslipstep.peers._frames import Frame, FrameError
from cowslipstep.peers._packing import count_words
from cowslipstep.peers._schema import SCHEMA

# Lists that claim more entries than they hold are refused after these.
_READS_PER_WORD = 8
_MIN_READS = 64

_DECODERS: tuple[Callable[[str, Any], Message | None], ...] = (
    decode_grant_message,
    decode_membership_message,
    decode_order_message,
    decode_load_message,
)


def decode_frame(payload: bytes) -> Frame:
    """Read a frame from packed bytes.

    Raises
    ------
    FrameError
        If the bytes are no frame.
    """
    try:
        return _frame(payload)
    except (capnp.KjException, ValueError) as error:
        raise FrameError(str(error)) from error


def _frame(payload: bytes) -> Frame:
    words = count_words(payload)
    raw = SCHEMA.Frame.from_bytes_packed(
        payload,
        traversal_limit_in_words=_READS_PER_WORD * words + _MIN_READS,
    )
    return Frame(raw.call, raw.reply, _message(raw))


def _message(raw: Any) -> Message:
    name = str(raw.which())
    body = getattr(raw, name)
    for decode in _DECODERS:
        message = decode(name, body)
        if message is not None:
            return message
    raise FrameError(f'unknown message {name}')
