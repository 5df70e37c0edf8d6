"""What a request needs, and the decisions on it under load."""

from __future__ import annotations

from attrs import frozen

from cowslipstep.routing._first_event import GroupView


@frozen
class RequestDemand:
    """What a request needs of a group.

    Parameters
    ----------
    prompt_tokens
        Length of the prompt.
    urgency
        Its place among the requests that are on time; 0 goes first.
    objective_s
        Time that is left to begin the answer in time.
    remaining_s
        Time that is left at all.
    """

    prompt_tokens: int
    urgency: int
    objective_s: float
    remaining_s: float


@frozen
class OnTime:
    """Send the request with the urgency of its rank."""

    view: GroupView
    expected_s: float


@frozen
class BestEffort:
    """Send the request behind all others; it may use what they leave."""

    view: GroupView
    expected_s: float


@frozen
class Overloaded:
    """Refuse the request; a slot is likely to be free later."""

    retry_after_s: float


Admission = OnTime | BestEffort | Overloaded
