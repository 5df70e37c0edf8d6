"""Requests in progress, counted until their responses are closed."""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterable, Iterator
from typing import Any, Protocol

from eventlet.event import Event
from eventlet.greenthread import getcurrent, kill

from cowslipstep.model import MayHaveRun, Reason, RequestError

_UNAVAILABLE = 503


class StopReached(RequestError):
    """The time for requests in progress has ended; raised in their tasks."""

    def __init__(self) -> None:
        super().__init__(
            MayHaveRun(Reason.stopping), 'the daemon stops', _UNAVAILABLE
        )


class ResponseWriter(Protocol):
    """Writes a response, and sends it while the caller takes it."""

    def finish(self) -> None:
        """Wait until all is sent, or cannot be sent."""

    def abandon(self) -> None:
        """Send no more of what was written."""


class RequestsInProgress:
    """Counts requests until their responses are sent.

    Examples
    --------
    >>> from unittest.mock import Mock
    >>> in_progress = RequestsInProgress()
    >>> writer = Mock(spec=ResponseWriter)
    >>> response = in_progress.track(lambda: [b'body'], writer)
    >>> list(response)
    [b'body']
    >>> response.close()
    >>> writer.finish.call_count, writer.abandon.call_count
    (1, 0)
    >>> in_progress.wait_until_none()
    """

    def __init__(self) -> None:
        self._tasks: list[Any] = []
        self._all_ended = Event()

    def track(
        self,
        respond: Callable[[], Iterable[bytes]],
        writer: ResponseWriter,
    ) -> Iterable[bytes]:
        """Start a response; its request counts until all of it is sent."""
        task = getcurrent()
        self._tasks.append(task)
        try:
            body = respond()
        except BaseException:
            self._end(task)
            raise
        return TrackedBody(body, writer, lambda: self._end(task))

    def wait_until_none(self) -> None:
        """Wait until no request is in progress."""
        while self._tasks:
            self._all_ended.wait()

    def end_all(self) -> None:
        """Raise ``StopReached`` in the tasks of all requests."""
        for task in tuple(self._tasks):
            kill(task, StopReached())

    def _end(self, task: Any) -> None:
        self._tasks.remove(task)
        if not self._tasks:
            all_ended = self._all_ended
            self._all_ended = Event()
            all_ended.send(None)


class TrackedBody:
    """Body of a response; its request ends when the body is sent.

    Parameters
    ----------
    body
        The body.
    writer
        Sends what the server has taken from the body.
    on_close
        Called at the end.
    """

    def __init__(
        self,
        body: Iterable[bytes],
        writer: ResponseWriter,
        on_close: Callable[[], None],
    ) -> None:
        self._body = body
        self._writer = writer
        self._on_close = on_close
        self._is_wanted = False

    def __iter__(self) -> Iterator[bytes]:
        try:
            yield from self._body
        except RequestError:
            # The caller gets what there is of a response that breaks off.
            self._is_wanted = True
            raise
        self._is_wanted = True

    def close(self) -> None:
        """Close the body, whether or not it was sent whole.

        The upstream is free from then on; the caller may still take the rest.
        """
        with contextlib.ExitStack() as stack:
            stack.callback(self._on_close)
            stack.callback(self._send_rest)
            close = getattr(self._body, 'close', None)
            if close is not None:
                close()

    def _send_rest(self) -> None:
        if not self._is_wanted:
            self._writer.abandon()
            return
        with contextlib.suppress(StopReached):
            self._writer.finish()
