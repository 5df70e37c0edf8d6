"""Requests of a caller and what came of them."""

from __future__ import annotations

from attrs import define, field, frozen


@frozen
class Call:
    """One request of a caller.

    ``key`` is the idempotency key; ``service`` is true for an order that is
    posted to the plain service; ``attempt`` counts the sends of an order.
    """

    prompt: str
    workspace: str
    rank: str = 'normal'
    tokens: int = 16
    stream: bool = False
    key: str = ''
    service: bool = False
    attempt: int = 1


@define
class Outcome:
    """What the caller saw.

    Attributes
    ----------
    verdict
        ``completed``, ``not_run``, ``may_have_run`` or ``lost`` where the
        connection broke without an answer.
    code
        The error's code; empty for none.
    correct
        Whether a completed answer is the whole and right one.
    first_byte_s
        Time to the first byte of the answer, seconds.
    started_s
        When the request was sent, by the monotonic clock.
    address
        The daemon that it was sent to.
    """

    call: Call
    status: int = 0
    verdict: str = 'lost'
    code: str = ''
    correct: bool = False
    first_byte_s: float = 0
    started_s: float = 0
    request_id: str = ''
    text: str = ''
    headers: dict[str, str] = field(factory=dict)
    address: str = ''
