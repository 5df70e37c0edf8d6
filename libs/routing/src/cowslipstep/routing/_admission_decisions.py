"""Demand of a request on a group, and the possible admission decisions."""

from __future__ import annotations

from attrs import frozen

from cowslipstep.routing._first_event import GroupView


@frozen
class RequestDemand:
    """Demand of a request on a group.

    Parameters
    ----------
    prompt_tokens
        Length of the prompt, tokens.
    urgency
        Urgency level among the requests that are on time; 0 goes first.
    objective_s
        Time left until the response must begin to meet its objective.
    remaining_s
        Time left until the deadline of the request.
    """

    prompt_tokens: int
    urgency: int
    objective_s: float
    remaining_s: float


@frozen
class OnTime:
    """Send the request with the urgency of its rank.

    ``expected_s`` is the predicted time to the first event.
    """

    view: GroupView
    expected_s: float


@frozen
class BestEffort:
    """Send the request with an urgency below all that are on time.

    It uses slots that no request on time needs. ``expected_s`` is the
    predicted time to the first event.
    """

    view: GroupView
    expected_s: float


@frozen
class Overloaded:
    """Refuse the request; a slot will probably be free after the delay."""

    retry_after_s: float


Admission = OnTime | BestEffort | Overloaded
