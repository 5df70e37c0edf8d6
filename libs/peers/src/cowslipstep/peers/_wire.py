"""Frames on a TCP connection: length and checksum, then the payload.

Bytes with a wrong checksum never reach the decoder: it reports them by C++
exceptions, which walk the stack for a backtrace and crash the process on a
green thread.
"""

from __future__ import annotations

import socket
import struct
import zlib

from attrs import frozen

from cowslipstep.peers._decode import decode_frame
from cowslipstep.peers._encode import encode_frame
from cowslipstep.peers._frames import Frame, FrameError

_HEADER = struct.Struct('>II')
_MAX_FRAME_BYTES = 4194304


@frozen
class ReceivedFrame:
    """A frame and its size on the wire."""

    frame: Frame
    bytes_on_wire: int


def send_frame(sock: socket.socket, frame: Frame) -> int:
    """Send one frame and return its size on the wire.

    Raises
    ------
    OSError
        If the connection is closed.
    """
    payload = encode_frame(frame)
    header = _HEADER.pack(len(payload), zlib.crc32(payload))
    sock.sendall(header + payload)
    return len(header) + len(payload)


def begin_frame(sock: socket.socket) -> bytes:
    """Wait for the next frame, and return its first byte.

    Raises
    ------
    OSError
        If the connection is closed.
    """
    return _receive_exactly(sock, 1)


def receive_frame(sock: socket.socket, started: bytes = b'') -> ReceivedFrame:
    """Receive a frame.

    Parameters
    ----------
    sock
        Socket of the connection.
    started
        What was already received of it.

    Raises
    ------
    FrameError
        If the bytes are not a valid frame, or the frame is too long.
    OSError
        If the connection is closed.
    """
    header = started + _receive_exactly(sock, _HEADER.size - len(started))
    length, checksum = _HEADER.unpack(header)
    if length > _MAX_FRAME_BYTES:
        raise FrameError(f'frame of {length} bytes exceeds the size limit')
    payload = _receive_exactly(sock, length)
    if zlib.crc32(payload) != checksum:
        raise FrameError('checksum of the frame does not match its payload')
    return ReceivedFrame(decode_frame(payload), len(header) + length)


def _receive_exactly(sock: socket.socket, count: int) -> bytes:
    received = bytearray()
    while len(received) < count:
        chunk = sock.recv(count - len(received))
        if not chunk:
            raise ConnectionResetError('the peer closed the connection')
        received.extend(chunk)
    return bytes(received)
