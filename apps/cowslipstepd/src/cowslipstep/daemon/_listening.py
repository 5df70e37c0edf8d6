"""Listening sockets, with one clear error for an address in use."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator
from typing import Any

import eventlet

from cowslipstep.model import Address, CowslipstepError


class ListenError(CowslipstepError):
    """An address cannot be listened on."""


def listen_http(address: Address) -> Any:
    """Open the listening socket for callers.

    Raises
    ------
    ListenError
        If the address is taken or not of this host.
    """
    with convert_listen_errors(address):
        return eventlet.listen((address.ip, address.port), reuse_port=False)


@contextlib.contextmanager
def convert_listen_errors(address: Address) -> Iterator[None]:
    """Turn a failure to listen into an error that names the address."""
    try:
        yield
    except OSError as error:
        message = f'cannot listen on {address}: {error.strerror}'
        raise ListenError(message) from error
