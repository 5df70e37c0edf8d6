"""Short answers of orders, kept for callers that send an order again."""

from __future__ import annotations

from collections.abc import Iterator

from cowslipstep.daemon._relay import Piece, ResponseHead
from cowslipstep.delivery import MAX_ANSWER_BYTES, OrderResponse
from cowslipstep.model import MayHaveRun, Reason, RequestError

_CONFLICT = 409


class KeptAnswer:
    """Collects an answer for as long as it is short enough to keep."""

    def __init__(self) -> None:
        self._head = ResponseHead(0, '')
        self._body: bytes | None = b''

    @property
    def answer(self) -> OrderResponse:
        """The answer so far."""
        head = self._head
        return OrderResponse(head.status, head.content_type, self._body)

    def add(self, piece: Piece) -> None:
        """Add the head or a piece of the body."""
        match piece:
            case ResponseHead():
                self._head = piece
            case bytes() if self._body is not None:
                self._add_bytes(self._body + piece)

    def _add_bytes(self, body: bytes) -> None:
        self._body = body if len(body) <= MAX_ANSWER_BYTES else None


def replay(answer: OrderResponse) -> Iterator[Piece]:
    """Yield the head and body of a kept answer.

    Raises
    ------
    RequestError
        If its body was not kept.
    """
    body = answer.body
    if body is None:
        raise RequestError(
            MayHaveRun(Reason.key_in_use),
            f'the order ran with status {answer.status}; '
            + 'its answer was too long to keep',
            _CONFLICT,
        )
    yield ResponseHead(
        answer.status,
        answer.content_type,
        len(body),
        replayed=True,
    )
    yield body
