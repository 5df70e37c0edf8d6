"""HTTP server for callers."""

from __future__ import annotations

import signal
from collections.abc import Callable, Iterable
from functools import partial
from typing import Any

from eventlet import Timeout, sleep, wsgi
from eventlet.event import Event
from eventlet.greenio import shutdown_safe
from loguru import logger

from cowslipstep.daemon._caller_connections import (
    CallerConnection,
    CallerConnections,
    close_expired,
)
from cowslipstep.daemon._caller_listener import CallerListener
from cowslipstep.daemon._checked_heads import with_checked_head
from cowslipstep.daemon._connection_limits import (
    ConnectionLimits,
    default_limits,
)
from cowslipstep.daemon._http import CALLER_WRITER, Environ, StartResponse
from cowslipstep.daemon._requests_in_progress import RequestsInProgress
from cowslipstep.daemon._tasks import TASKS, SupervisedTasks, repeat

# A request that was sent before the socket closed arrives within this time.
_LAST_REQUESTS_WAIT_S = 0.2
# Time before the end in which requests that remain are answered.
_LAST_ANSWERS_S = 0.5
_EXPIRY_PERIOD_S = 0.5

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
    current_limits
        Returns the limits on connections that are in force.
    tasks
        Supervises the tasks of the server.
    """

    def __init__(
        self,
        listener: Any,
        application: Application,
        is_stopping: Callable[[], bool],
        current_limits: Callable[[], ConnectionLimits] = default_limits,
        tasks: SupervisedTasks = TASKS,
    ) -> None:
        self._is_stopping = is_stopping
        self._connections = CallerConnections(current_limits)
        self._listener = CallerListener(
            listener, self._connections, self._serve
        )
        self._in_progress = RequestsInProgress()
        self._tasks = tasks
        self._application = application
        self._http = wsgi.Server(
            listener,
            listener.getsockname(),
            self._respond,
            protocol=partial(CallerConnection, self._connections),
            minimum_chunk_size=1,
            log_output=False,
            debug=False,
        )

    @property
    def connections(self) -> CallerConnections:
        """The open connections."""
        return self._connections

    def start(self) -> None:
        """Start the tasks that accept connections and close idle ones."""
        ip, port = self._http.address[:2]
        self._tasks.start(f'listener of port {port}', self._listener.run)
        self._tasks.start(
            f'idle connections of port {port}',
            repeat(_EXPIRY_PERIOD_S, partial(close_expired, self._connections)),
        )
        logger.bind(address=f'{ip}:{port}').info('daemon serves callers')

    def close(self) -> None:
        """Accept pending connections, then close the listening socket."""
        self._listener.close()

    def wait_finished(self, timeout_s: float) -> bool:
        """Wait for the requests in progress; return false if some remain.

        First it leaves time to read requests on the connections accepted last.
        Then idle connections are closed, so that callers do not use them
        again. Shortly before the end, the requests that remain are ended, so
        that their callers are told.
        """
        last_answers_s = min(_LAST_ANSWERS_S, timeout_s / 2)
        with Timeout(timeout_s - last_answers_s, False):
            sleep(_LAST_REQUESTS_WAIT_S)
            self._connections.close_idle()
            # The tasks of idle connections read the requests that have arrived.
            sleep(0)
            self._in_progress.wait_until_none()
            return True
        self._connections.close_idle()
        self._in_progress.end_all()
        with Timeout(last_answers_s, False):
            self._in_progress.wait_until_none()
        return False

    def _serve(self, connection: Any, address: Any) -> None:
        try:
            self._http.process_request([address, connection, wsgi.STATE_IDLE])
        except Exception:
            logger.exception('connection of a caller failed and is closed')
        finally:
            shutdown_safe(connection)
            connection.close()

    def _respond(
        self,
        environ: Environ,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        start_response = with_checked_head(start_response)
        if self._is_stopping():
            start_response = with_connection_close(start_response)
        return self._in_progress.track(
            lambda: self._application(environ, start_response),
            environ[CALLER_WRITER],
        )


def with_connection_close(start_response: StartResponse) -> StartResponse:
    """Return a ``start_response`` that adds ``Connection: close``."""

    def start_and_close(status: str, headers: list[Any]) -> Any:  # noqa: WPS430
        return start_response(status, [*headers, ('Connection', 'close')])

    return start_and_close
