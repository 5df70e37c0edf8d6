"""Accepts connections whatever becomes of a single one."""

from __future__ import annotations

import errno
from collections.abc import Callable, Iterator
from typing import Any

# The listening socket itself cannot be used any more.
_LISTENER_GONE = frozenset(
    (errno.EBADF, errno.EINVAL, errno.ENOTCONN, errno.ENOTSOCK)
)


def accepted_connections(
    listener: Any, on_failure: Callable[[OSError], None]
) -> Iterator[tuple[Any, Any]]:
    """Yield connections and their addresses until the listener is closed.

    Parameters
    ----------
    listener
        Listening socket.
    on_failure
        Called with the error of an accept that failed, for example for want of
        a descriptor; it should wait a while.

    Raises
    ------
    OSError
        If the listening socket cannot be used any more.
    """
    while True:
        try:
            accepted = listener.accept()
        except OSError as error:
            if error.errno in _LISTENER_GONE:
                raise
            on_failure(error)
        else:
            yield accepted
