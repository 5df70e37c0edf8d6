"""Cancellation of requests whose caller closes the connection."""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Iterator

from eventlet.greenthread import getcurrent, kill, spawn
from eventlet.hubs import trampoline

from cowslipstep.daemon._http import Environ


# First byte of TCP_INFO.
_TCP_ESTABLISHED = b'\x01'


class CallerGone(Exception):
    """The caller closed its connection before the response was complete."""


@contextlib.contextmanager
def raise_on_hangup(environ: Environ) -> Iterator[None]:
    """Raise ``CallerGone`` in the current task when the caller hangs up.

    The exception is raised at the point where the task waits. Once the caller
    has sent its next request, a close is no longer detected: the unread bytes
    of that request precede it on the connection.
    """
    connection = environ['wsgi.input'].get_socket()
    watcher = spawn(_watch, connection, getcurrent())
    try:
        yield
    finally:
        watcher.kill()


def _watch(connection: socket.socket, waiting_task: object) -> None:
    trampoline(connection.fileno(), read=True)
    if not _has_unread_bytes(connection) and not _is_established(connection):
        kill(waiting_task, CallerGone())


def _has_unread_bytes(connection: socket.socket) -> bool:
    try:
        return bool(connection.recv(1, socket.MSG_PEEK))
    except OSError:
        return False


def _is_established(connection: socket.socket) -> bool:
    """Return whether neither side has closed the connection.

    It also reads as ended once this side has shut down receiving.
    """
    try:
        state = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
    except OSError:
        return False
    return state == _TCP_ESTABLISHED
