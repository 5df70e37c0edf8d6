"""Notices callers that close their connection."""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Iterator

from eventlet.greenthread import getcurrent, kill, spawn
from eventlet.hubs import trampoline

from cowslipstep.daemon._http import Environ


class CallerGone(Exception):
    """The caller closed its connection before the answer was complete."""


@contextlib.contextmanager
def raise_on_hangup(environ: Environ) -> Iterator[None]:
    """Raise ``CallerGone`` in the current task when the caller hangs up.

    The exception is raised at the point where the task waits. A caller that
    has sent its next request already is watched no more: what it sent stays
    unread, and a close behind it cannot be seen.
    """
    connection = environ['wsgi.input'].get_socket()
    watcher = spawn(_watch, connection, getcurrent())
    try:
        yield
    finally:
        watcher.kill()


def _watch(connection: socket.socket, waiting: object) -> None:
    trampoline(connection.fileno(), read=True)
    if not _has_bytes(connection):
        kill(waiting, CallerGone())


def _has_bytes(connection: socket.socket) -> bool:
    try:
        return bool(connection.recv(1, socket.MSG_PEEK))
    except OSError:
        return False
