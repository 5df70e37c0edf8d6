"""Encoding of frames as packed Cap'n Proto.

Messages are built field by field. If they were built from dictionaries, the
codec would raise C++ exceptions internally, which walk the stack for a
backtrace and crash the process on a green thread.
"""

from __future__ import annotations

from typing import Any

from cowslipstep.model import GrantMessage, Message, OrderMessage
from cowslipstep.model.loads import LoadMessage
from cowslipstep.peers._encode_grants import write_grant_message
from cowslipstep.peers._encode_loads import write_load_message
from cowslipstep.peers._encode_membership import write_membership_message
from cowslipstep.peers._encode_orders import write_order_message
from cowslipstep.peers._frames import Frame
from cowslipstep.peers._schema import SCHEMA


def encode_frame(frame: Frame) -> bytes:
    """Return the packed bytes of a frame."""
    builder = SCHEMA.Frame.new_message()
    builder.call = frame.call
    builder.reply = frame.reply
    _write_message(builder, frame.message)
    return builder.to_bytes_packed()


def _write_message(builder: Any, message: Message) -> None:
    if isinstance(message, GrantMessage):
        write_grant_message(builder, message)
        return
    if isinstance(message, OrderMessage):
        write_order_message(builder, message)
        return
    if isinstance(message, LoadMessage):
        write_load_message(builder, message)
        return
    write_membership_message(builder, message)
