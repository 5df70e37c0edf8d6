"""Detection of connection resets on eventlet's sockets."""

from __future__ import annotations

from typing import Any

from eventlet.hubs import trampoline


class ResetAwareReader:
    """Receives into buffers, and raises if the connection was reset.

    Eventlet's socket reports a reset as the end of the connection, so that a
    cut response without a Content-Length would look complete.

    Parameters
    ----------
    sock
        Socket of eventlet.
    """

    def __init__(self, sock: Any) -> None:
        self._sock = sock

    def recv_into(
        self,
        buffer: Any,
        nbytes: int = 0,
        flags: int = 0,
    ) -> int:
        """Wait for bytes, and return their number; zero at the end.

        Raises
        ------
        OSError
            If the connection was reset, or no bytes arrived in time.
        """
        plain_sock = self._sock.fd
        while True:
            try:
                return plain_sock.recv_into(buffer, nbytes, flags)
            except BlockingIOError:
                trampoline(
                    plain_sock,
                    read=True,
                    timeout=self._sock.gettimeout(),
                    timeout_exc=TimeoutError('no bytes within the timeout'),
                )
