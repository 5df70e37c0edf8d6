"""Decoding of frames from packed Cap'n Proto messages."""

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

# Limit on the words that the codec may read from one message. A list of
# entries of size zero can declare millions of them in a few bytes: reading it
# ends with an error at this limit.
_TRAVERSAL_LIMIT_FACTOR = 8
_EXTRA_TRAVERSAL_WORDS = 64

_DECODERS: tuple[Callable[[str, Any], Message | None], ...] = (
    decode_grant_message,
    decode_membership_message,
    decode_order_message,
    decode_load_message,
)


def decode_frame(payload: bytes) -> Frame:
    """Decode a frame from packed bytes.

    Raises
    ------
    FrameError
        If the bytes are not a valid frame.
    """
    try:
        return _decode_payload(payload)
    except (capnp.KjException, ValueError) as error:
        raise FrameError(str(error)) from error


def _decode_payload(payload: bytes) -> Frame:
    words = count_words(payload)
    raw = SCHEMA.Frame.from_bytes_packed(
        payload,
        traversal_limit_in_words=_TRAVERSAL_LIMIT_FACTOR * words
        + _EXTRA_TRAVERSAL_WORDS,
    )
    return Frame(raw.call, raw.reply, _decode_message(raw))


def _decode_message(raw: Any) -> Message:
    name = str(raw.which())
    body = getattr(raw, name)
    for decode in _DECODERS:
        message = decode(name, body)
        if message is not None:
            return message
    raise FrameError(f'unknown message type {name}')
