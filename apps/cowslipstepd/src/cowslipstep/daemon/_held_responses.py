"""Responses that are held until they are whole."""

from __future__ import annotations

from contextvars import ContextVar
from typing import Any

from cowslipstep.daemon._charges import MemoryRefused
from cowslipstep.daemon._held_bytes import HeldBytes
from cowslipstep.model import MayHaveRun, Reason, RequestError

_BAD_GATEWAY = 502

# What the connection holds whose task runs; each task has its own context.
_CURRENT: ContextVar[HeldBytes | None] = ContextVar('held', default=None)


def hold_in_this_task(held: HeldBytes) -> None:
    """Charge what responses hold in this task to a connection."""
    _CURRENT.set(held)


class HeldResponse:
    """Gathers a response until it is whole, and charges what it holds.

    That is released at the end of the request, or when the response fails.
    Outside of the task of a caller, nothing is charged.
    """

    def __init__(self) -> None:
        self._held = _CURRENT.get()
        self._body = bytearray()

    def __enter__(self) -> HeldResponse:
        """Begin to gather."""
        return self

    def __exit__(self, failure: Any, *_: Any) -> None:
        """Release the bytes if the response failed."""
        # The error that ends a request refers to this one for a while.
        self._body.clear()
        if failure and self._held is not None:
            self._held.release_response()

    def __len__(self) -> int:
        """Return the number of bytes so far."""
        return len(self._body)

    def __bytes__(self) -> bytes:
        """Return all bytes."""
        return bytes(self._body)

    def add(self, received: bytes) -> None:
        """Charge and add received bytes.

        Raises
        ------
        RequestError
            If there is no memory for them. No other upstream is tried, since
            its response would need as much.
        """
        try:
            self._charge(len(received))
        except MemoryRefused as error:
            raise RequestError(
                MayHaveRun(Reason.no_capacity),
                str(error.strerror),
                _BAD_GATEWAY,
            ) from error
        self._body += received

    def _charge(self, received_bytes: int) -> None:
        if self._held is not None:
            self._held.charge_response(received_bytes)
