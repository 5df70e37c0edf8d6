"""HTTP servers of the stand-ins."""

from __future__ import annotations

import os
import signal
from collections.abc import Callable, Iterable
from typing import Any

from eventlet import listen as open_listener
from eventlet import wsgi

from cowslipstep_standins._http import Environ, StartResponse

Application = Callable[[Environ, StartResponse], Iterable[bytes]]

_MAX_CONNECTIONS = 4096


def listen(address: str) -> Any:
    """Open a listening socket on ``ip:port``."""
    ip, _, port = address.rpartition(':')
    return open_listener((ip, int(port)), reuse_port=False)


def serve(sock: Any, application: Application) -> None:
    """Serve HTTP on a listening socket until the process ends."""
    wsgi.server(
        sock,
        application,
        log_output=False,
        minimum_chunk_size=1,
        max_size=_MAX_CONNECTIONS,
        debug=False,
    )


def exit_on_signals() -> None:
    """End the process at once, with status 0, on SIGTERM and SIGINT."""
    signal.signal(signal.SIGTERM, _exit_now)
    signal.signal(signal.SIGINT, _exit_now)


def _exit_now(_number: int, _frame: object) -> None:
    os._exit(0)
