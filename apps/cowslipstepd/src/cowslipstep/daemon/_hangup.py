"""Cancellation of requests whose caller closes the connection."""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Iterator

from eventlet.greenthread import getcurrent, kill, spawn
from eventlet.hubs import trampoline
from greenlet import GreenletExit

from cowslipstep.daemon._http import Environ

# Key of an environ: whether this side no longer receives on the connection.
RECEIVING_CLOSED = 'cowslipstep.receiving_closed'


class CallerGone(Exception):
    """The caller closed its connection before the response was complete."""


@contextlib.contextmanager
def raise_on_hangup(environ: Environ) -> Iterator[None]:
    """Raise ``CallerGone`` in the current task when the caller hangs up.

    The exception is raised at the point where the task waits. Once the caller
    has sent its next request, a close is no longer detected: the unread bytes
    of that request precede it on the connection. Nor is it detected on a
    connection whose receiving side is shut down, which always reads as ended.
    """
    if environ.get(RECEIVING_CLOSED):
        yield
        return
    connection = environ['wsgi.input'].get_socket()
    watcher = spawn(_watch, connection, getcurrent())
    try:
        yield
    finally:
        watcher.kill()


def _watch(connection: socket.socket, waiting_task: object) -> None:
    # A task that ends with an exception keeps it. Its context is the error
    # that ends the request, with all frames and the bodies that they hold.
    with contextlib.suppress(GreenletExit):
        trampoline(connection.fileno(), read=True)
        if not _has_unread_bytes(connection):
            kill(waiting_task, CallerGone())


def _has_unread_bytes(connection: socket.socket) -> bool:
    try:
        return bool(connection.recv(1, socket.MSG_PEEK))
    except OSError:
        return False
