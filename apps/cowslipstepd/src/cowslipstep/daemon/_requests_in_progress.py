"""Requests in progress, counted until their responses are closed."""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterable, Iterator

from eventlet.event import Event


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
        self._count = 0
        self._all_ended = Event()

    def track(self, respond: Callable[[], Iterable[bytes]]) -> Iterable[bytes]:
        """Start a response; its request counts until the response is closed."""
        self._count += 1
        try:
            body = respond()
        except BaseException:
            self._end()
            raise
        return TrackedBody(body, self._end)

    def wait_until_none(self) -> None:
        """Wait until no request is in progress."""
        while self._count:
            self._all_ended.wait()

    def _end(self) -> None:
        self._count -= 1
        if self._count == 0:
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
