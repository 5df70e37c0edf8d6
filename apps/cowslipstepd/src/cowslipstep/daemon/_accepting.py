"""Accepts connections whatever becomes of a single one."""

from __future__ import annotations

import contextlib
import errno
import os
import socket
import time
from collections.abc import Callable, Iterator
from typing import Any

import eventlet
from loguru import logger

# No descriptor or memory is left for a connection.
_EXHAUSTED = frozenset(
    (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
)
# The listening socket itself cannot be used any more.
_LISTENER_GONE = frozenset(
    (errno.EBADF, errno.EINVAL, errno.ENOTCONN, errno.ENOTSOCK)
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


def accepted_connections(
    listener: Any, make_room: Callable[[], None]
) -> Iterator[tuple[Any, Any]]:
    """Yield connections and their addresses until the listener is closed.

    Parameters
    ----------
    listener
        Listening socket of eventlet.
    make_room
        Called when no descriptor is left, to close connections that are not
        in use.

    Raises
    ------
    OSError
        If the listening socket cannot be used any more.
    """
    spare = SpareDescriptor()
    warnings = _Warnings()
    while True:
        try:
            yield listener.accept()
        except OSError as error:
            _raise_if_gone(error)
            warnings.warn(error)
            if error.errno in _EXHAUSTED:
                make_room()
                eventlet.sleep(_PAUSE_S)
                spare.refuse_next(listener)


def _raise_if_gone(error: OSError) -> None:
    if error.errno in _LISTENER_GONE:
        raise error


class _Warnings:
    """Logs failures, one in each period."""

    def __init__(self) -> None:
        self._quiet_until_s = float('-inf')

    def warn(self, error: OSError) -> None:
        """Log a failure unless one was logged lately."""
        now_s = time.monotonic()
        if now_s < self._quiet_until_s:
            return
        self._quiet_until_s = now_s + _WARNING_PERIOD_S
        logger.warning('connection not accepted, accepting goes on: {}', error)


def _open_spare() -> int | None:
    try:
        return os.open(os.devnull, os.O_RDONLY)
    except OSError:
        return None
