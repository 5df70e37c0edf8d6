"""Listening sockets, with an error that names the address on failure."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator
from typing import Any

import eventlet

from cowslipstep.model import Address, CowslipstepError

# Callers that connect beyond it wait for seconds.
_BACKLOG = 1024


class ListenError(CowslipstepError):
    """A listening socket cannot be opened on an address."""


def listen_http(address: Address) -> Any:
    """Open the listening socket for callers.

    Raises
    ------
    ListenError
        If the address is in use or does not belong to this host.
    """
    with convert_listen_errors(address):
        return eventlet.listen(
            (address.ip, address.port), backlog=_BACKLOG, reuse_port=False
        )


@contextlib.contextmanager
def convert_listen_errors(address: Address) -> Iterator[None]:
    """Convert an ``OSError`` into a ``ListenError`` that names the address."""
    try:
        yield
    except OSError as error:
        message = f'cannot listen on {address}: {error.strerror}'
        raise ListenError(message) from error
