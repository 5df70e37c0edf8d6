"""The frame that begins a link between daemons."""

from __future__ import annotations

import struct
from typing import Any

from cowslipstep.model import DaemonEntry
from cowslipstep.peers import decode_frame

_HEADER = struct.Struct('>II')


def read_greeting(sock: Any) -> tuple[str, bytes]:
    """Return the name of the daemon that opened a link, and the bytes read.

    Raises
    ------
    ConnectionResetError
        If the link ends before.
    """
    header = _read_exactly(sock, _HEADER.size)
    size_bytes, _ = _HEADER.unpack(header)
    payload = _read_exactly(sock, size_bytes)
    return _sender(payload), header + payload


def _read_exactly(sock: Any, size_bytes: int) -> bytes:
    received = b''
    while len(received) < size_bytes:
        piece = sock.recv(size_bytes - len(received))
        if not piece:
            raise ConnectionResetError('no greeting')
        received += piece
    return received


def _sender(payload: bytes) -> str:
    match decode_frame(payload).message:
        case DaemonEntry(name):
            return name
    return ''
