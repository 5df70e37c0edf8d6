"""What becomes of callers that cannot be accepted."""

from __future__ import annotations

import contextlib
import errno
import os
import socket
import time
from collections.abc import Callable
from typing import Any

import eventlet
from loguru import logger

# No descriptor or memory is left for a connection.
_EXHAUSTED = frozenset(
    (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
)
# Pause after a failure, in which descriptors may be closed.
_PAUSE_S = 0.02
_WARNING_PERIOD_S = 1
_REFUSAL = (
    b'HTTP/1.1 503 Service Unavailable\r\n'
    b'Content-Length: 0\r\nConnection: close\r\nRetry-After: 1\r\n\r\n'
)


class SpareDescriptor:
    """A descriptor that is held to refuse a caller when no other is left."""

    def __init__(self) -> None:
        self._descriptor = _open_spare()

    def refuse_next(self, listener: Any) -> None:
        """Accept the next connection and refuse it."""
        if self._descriptor is not None:
            os.close(self._descriptor)
            self._descriptor = None
        with contextlib.suppress(OSError):
            # The plain socket does not wait.
            accepted, _ = listener.fd.accept()
            with contextlib.closing(accepted):
                refuse(accepted)
        self._descriptor = _open_spare()


def refuse(connection: Any) -> None:
    """Send a refusal without a wait."""
    with contextlib.suppress(OSError):
        connection.setblocking(False)
        connection.send(_REFUSAL)
        connection.shutdown(socket.SHUT_WR)


class FailedAccepts:
    """Deals with accepts that failed, so that accepting goes on.

    Parameters
    ----------
    listener
        Listening socket of eventlet.
    make_room
        Called when no descriptor is left, to close connections that are not
        in use.
    """

    def __init__(self, listener: Any, make_room: Callable[[], None]) -> None:
        self._listener = listener
        self._make_room = make_room
        self._spare = SpareDescriptor()
        self._quiet_until_s = float('-inf')

    def recover(self, error: OSError) -> None:
        """Log a failure unless one was logged lately; make room if needed."""
        now_s = time.monotonic()
        if now_s >= self._quiet_until_s:
            self._quiet_until_s = now_s + _WARNING_PERIOD_S
            logger.warning(
                'connection not accepted, accepting goes on: {}', error
            )
        if error.errno in _EXHAUSTED:
            self._make_room()
            eventlet.sleep(_PAUSE_S)
            self._spare.refuse_next(self._listener)


def _open_spare() -> int | None:
    try:
        return os.open(os.devnull, os.O_RDONLY)
    except OSError:
        return None
