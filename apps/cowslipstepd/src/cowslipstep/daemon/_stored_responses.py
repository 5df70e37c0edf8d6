"""Stored responses of orders, replayed to callers that send an order again."""

from __future__ import annotations

from collections.abc import Iterator

from cowslipstep.daemon._relay import ResponseHead, ResponsePart
from cowslipstep.delivery import MAX_STORED_BODY_BYTES, OrderResponse
from cowslipstep.model import MayHaveRun, Reason, RequestError

_CONFLICT = 409


class ResponseRecorder:
    """Copies a response as it is relayed, to store it afterwards.

    The body is dropped as soon as it becomes too long to store.
    """

    def __init__(self) -> None:
        self._head = ResponseHead(0, '')
        self._body: bytes | None = b''

    @property
    def response(self) -> OrderResponse:
        """The response as far as it was recorded."""
        head = self._head
        return OrderResponse(head.status, head.content_type, self._body)

    def add(self, part: ResponsePart) -> None:
        """Record the head or the next part of the body."""
        match part:
            case ResponseHead():
                self._head = part
            case bytes() if self._body is not None:
                self._set_body(self._body + part)

    def _set_body(self, body: bytes) -> None:
        self._body = body if len(body) <= MAX_STORED_BODY_BYTES else None


def replay(response: OrderResponse) -> Iterator[ResponsePart]:
    """Yield the head and the body of a stored response.

    Raises
    ------
    RequestError
        If the body was too long to be stored.
    """
    body = response.body
    if body is None:
        raise RequestError(
            MayHaveRun(Reason.key_in_use),
            f'the order ran with status {response.status}; '
            + 'its response was too long to store',
            _CONFLICT,
        )
    yield ResponseHead(
        response.status,
        response.content_type,
        len(body),
        is_replayed=True,
    )
    yield body
