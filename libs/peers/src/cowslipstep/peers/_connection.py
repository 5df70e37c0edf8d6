"""A TCP connection that carries frames; sends are bounded in time."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator

import eventlet
from attrs import define
from eventlet.green import socket
from eventlet.semaphore import Semaphore

from cowslipstep.peers._frames import Frame
from cowslipstep.peers._wire import begin_frame, receive_frame, send_frame
from cowslipstep.tasks import TimeSlice

_SEND_TIMEOUT_S = 2
# Time from the first byte of a frame to its last one.
_FRAME_TIMEOUT_S = 10


@define
class Traffic:
    """Bytes and frames between daemons, without TCP and IP headers."""

    sent_bytes: int = 0
    received_bytes: int = 0
    sent_frames: int = 0
    received_frames: int = 0


class FrameConnection:
    """Sends and receives frames on a socket.

    Parameters
    ----------
    sock
        Connected socket.
    traffic
        Counters of the bytes and frames sent and received.
    """

    def __init__(self, sock: socket.socket, traffic: Traffic) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._sock = sock
        self._traffic = traffic
        self._send_lock = Semaphore()
        self._time_slice = TimeSlice()

    def send(self, frame: Frame) -> None:
        """Send a whole frame, or close the connection.

        Raises
        ------
        OSError
            If the connection is closed, or the peer does not accept the
            frame in time.
        """
        with (
            self._send_lock,
            self._closed_on_error(),
            eventlet.Timeout(
                _SEND_TIMEOUT_S,
                TimeoutError('slow peer: frame not sent in time'),
            ),
        ):
            self._traffic.sent_bytes += send_frame(self._sock, frame)
            self._traffic.sent_frames += 1

    def receive(self) -> Frame:
        """Wait for the next frame; other tasks run while many have arrived.

        Raises
        ------
        FrameError
            If the bytes received are not a valid frame.
        OSError
            If the connection is closed, or a frame does not arrive in time.
        """
        self._time_slice.end_if_over()
        started = begin_frame(self._sock)
        with eventlet.Timeout(
            _FRAME_TIMEOUT_S, TimeoutError('frame not received in time')
        ):
            received = receive_frame(self._sock, started)
        self._traffic.received_bytes += received.bytes_on_wire
        self._traffic.received_frames += 1
        return received.frame

    def close(self) -> None:
        """Shut down both directions of the connection."""
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)

    @contextlib.contextmanager
    def _closed_on_error(self) -> Iterator[None]:
        # Part of a frame may have been sent: the peer would read whatever
        # followed as the rest of that frame.
        try:
            yield
        except BaseException:
            self.close()
            raise
