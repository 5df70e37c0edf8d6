"""HTTP server for callers."""

from __future__ import annotations

import signal
from collections.abc import Callable, Iterable
from typing import Any

from eventlet import GreenPool, Timeout, sleep, spawn, wsgi
from eventlet.event import Event
from loguru import logger

from cowslipstep.daemon._caller_connections import CallerConnections
from cowslipstep.daemon._http import Environ, StartResponse
from cowslipstep.daemon._requests_in_progress import RequestsInProgress

# A request that was sent before the socket closed arrives within this time.
_LAST_REQUESTS_WAIT_S = 0.2
_MAX_CONNECTIONS = 10000
_IDLE_TIMEOUT_S = 60

Application = Callable[[Environ, StartResponse], Iterable[bytes]]


def stop_event() -> Event:
    """Return an event that is sent on SIGTERM or SIGINT."""
    stop = Event()

    def request_stop(_number: int, _frame: object) -> None:  # noqa: WPS430
        if not stop.ready():
            stop.send(None)

    signal.signal(signal.SIGTERM, request_stop)
    signal.signal(signal.SIGINT, request_stop)
    return stop


class CallerServer:
    """HTTP server for callers on a listening socket.

    Parameters
    ----------
    listener
        Listening socket.
    application
        Handles requests.
    is_stopping
        Returns whether responses shall close their connection, so that callers
        connect to another daemon.
    idle_timeout_s
        Time after which an idle connection is closed.
    """

    def __init__(
        self,
        listener: Any,
        application: Application,
        is_stopping: Callable[[], bool],
        idle_timeout_s: float = _IDLE_TIMEOUT_S,
    ) -> None:
        self._listener = listener
        self._application = application
        self._is_stopping = is_stopping
        self._idle_timeout_s = idle_timeout_s
        self._connections = CallerConnections()
        self._in_progress = RequestsInProgress()
        self._pool = GreenPool(_MAX_CONNECTIONS)
        self._task: Any = None

    def start(self) -> None:
        """Start the task that accepts connections."""
        self._task = spawn(
            wsgi.server,
            self._listener,
            self._respond,
            custom_pool=self._pool,
            protocol=self._connections.serve,
            log_output=False,
            minimum_chunk_size=1,
            socket_timeout=self._idle_timeout_s,
            debug=False,
        )
        ip, port = self._listener.getsockname()[:2]
        logger.bind(address=f'{ip}:{port}').info('daemon serves callers')

    def close(self) -> None:
        """Accept pending connections, then close the listening socket."""
        sleep(0)
        self._listener.close()

    def wait_finished(self, timeout_s: float) -> bool:
        """Wait for the requests in progress; return false if some remain.

        First it leaves time to read requests on the connections accepted last.
        Then idle connections are closed, so that callers do not use them
        again.
        """
        with Timeout(timeout_s, False):
            sleep(_LAST_REQUESTS_WAIT_S)
            self._connections.close_idle()
            # The tasks of idle connections read the requests that have arrived.
            sleep(0)
            self._task.kill()
            self._in_progress.wait_until_none()
            return True
        return False

    def _respond(
        self,
        environ: Environ,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        if self._is_stopping():
            start_response = with_connection_close(start_response)
        return self._in_progress.track(
            lambda: self._application(environ, start_response),
        )


def with_connection_close(start_response: StartResponse) -> StartResponse:
    """Return a ``start_response`` that adds ``Connection: close``."""

    def start_and_close(status: str, headers: list[Any]) -> Any:  # noqa: WPS430
        return start_response(status, [*headers, ('Connection', 'close')])

    return start_and_close
