"""Requests in progress, counted until their answers are sent."""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterable, Iterator

from eventlet.event import Event


class RequestsInProgress:
    """Counts requests in progress.

    Examples
    --------
    >>> in_progress = RequestsInProgress()
    >>> answer = in_progress.track(lambda: [b'answer'])
    >>> list(answer)
    [b'answer']
    >>> answer.close()
    >>> in_progress.wait_until_none()
    """

    def __init__(self) -> None:
        self._count = 0
        self._none = Event()

    def track(self, answer: Callable[[], Iterable[bytes]]) -> Iterable[bytes]:
        """Return the pieces of an answer; the request ends with them."""
        self._count += 1
        try:
            pieces = answer()
        except BaseException:
            self._end()
            raise
        return TrackedBody(pieces, self._end)

    def wait_until_none(self) -> None:
        """Wait until no request is in progress."""
        while self._count:
            self._none.wait()

    def _end(self) -> None:
        self._count -= 1
        if self._count == 0:
            ended = self._none
            self._none = Event()
            ended.send(None)


class TrackedBody:
    """Pieces of an answer whose request ends when it is closed."""

    def __init__(
        self,
        pieces: Iterable[bytes],
        on_close: Callable[[], None],
    ) -> None:
        self._pieces = pieces
        self._on_close = on_close

    def __iter__(self) -> Iterator[bytes]:
        yield from self._pieces

    def close(self) -> None:
        """Close the answer, sent or not."""
        with contextlib.ExitStack() as stack:
            stack.callback(self._on_close)
            close = getattr(self._pieces, 'close', None)
            if close is not None:
                close()
