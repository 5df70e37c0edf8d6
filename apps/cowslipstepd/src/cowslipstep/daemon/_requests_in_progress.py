"""Requests in progress, counted until their responses are closed."""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterable, Iterator
from typing import Any

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


class RequestsInProgress:
    """Counts requests until their responses are closed.

    Examples
    --------
    >>> in_progress = RequestsInProgress()
    >>> response = in_progress.track(lambda: [b'body'])
    >>> list(response)
    [b'body']
    >>> response.close()
    >>> in_progress.wait_until_none()
    """

    def __init__(self) -> None:
        self._tasks: list[Any] = []
        self._all_ended = Event()

    def track(self, respond: Callable[[], Iterable[bytes]]) -> Iterable[bytes]:
        """Start a response; its request counts until the response is closed."""
        task = getcurrent()
        self._tasks.append(task)
        try:
            body = respond()
        except BaseException:
            self._end(task)
            raise
        return TrackedBody(body, lambda: self._end(task))

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
    """Body of a response; its request ends when the body is closed."""

    def __init__(
        self,
        body: Iterable[bytes],
        on_close: Callable[[], None],
    ) -> None:
        self._body = body
        self._on_close = on_close

    def __iter__(self) -> Iterator[bytes]:
        yield from self._body

    def close(self) -> None:
        """Close the body, whether or not it was sent whole."""
        with contextlib.ExitStack() as stack:
            stack.callback(self._on_close)
            close = getattr(self._body, 'close', None)
            if close is not None:
                close()
