"""Calls of a caller and their outcomes."""

from __future__ import annotations

from attrs import define, field, frozen


@frozen
class Call:
    """One request of a caller.

    ``key`` is the idempotency key; ``service`` is true for an order that is
    posted to the plain service; ``attempt`` counts the sends of an order,
    from 1.
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
    """Outcome of a call as the caller observed it.

    Attributes
    ----------
    verdict
        ``completed``, ``not_run`` or ``may_have_run``; ``lost`` if the
        connection failed before the response was complete.
    code
        Code of the error or name of the exception; empty for none.
    correct
        Whether the response is complete and has the expected text.
    first_byte_s
        Time until the head of the response arrived, seconds.
    started_s
        Time at which the request was sent, monotonic clock, seconds.
    address
        Address of the daemon that the request was sent to.
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
