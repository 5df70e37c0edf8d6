"""The first frame of a link between daemons, which names the sender."""

from __future__ import annotations

import struct
from typing import Any

from cowslipstep.model import DaemonEntry
from cowslipstep.peers import decode_frame

_HEADER = struct.Struct('>II')


def read_opening_frame(sock: Any) -> tuple[str, bytes]:
    """Return the name of the connecting daemon, and the bytes that were read.

    The name is empty if the frame holds another message.

    Raises
    ------
    ConnectionResetError
        If the connection ends before the frame is complete.
    """
    header = _read_exactly(sock, _HEADER.size)
    size_bytes, _ = _HEADER.unpack(header)
    payload = _read_exactly(sock, size_bytes)
    return _sender(payload), header + payload


def _read_exactly(sock: Any, size_bytes: int) -> bytes:
    received = b''
    while len(received) < size_bytes:
        chunk = sock.recv(size_bytes - len(received))
        if not chunk:
            raise ConnectionResetError(
                'connection ended before its first frame was complete'
            )
        received += chunk
    return received


def _sender(payload: bytes) -> str:
    match decode_frame(payload).message:
        case DaemonEntry(name):
            return name
    return ''
