"""Orders to runners, without their encoding."""

from __future__ import annotations

import enum

from attrs import frozen


class OrderOutcome(enum.StrEnum):
    """What a runner said to an order."""

    accepted = 'accepted'
    unfit = 'unfit'
    outdated = 'outdated'
    misdirected = 'misdirected'
    unknown = 'unknown'


@frozen
class Joining:
    """Order to become a member of a group; its first member leads."""

    group: str
    epoch: int
    model: str
    members: tuple[str, ...]


@frozen
class Opening:
    """Order to the first member of a whole group to serve requests."""

    group: str
    epoch: int


@frozen
class Closing:
    """Order to the first member to take no more requests.

    ``cancel`` ends those that run.
    """

    group: str
    epoch: int
    cancel: bool = False


@frozen
class Leaving:
    """Order to leave a group at once."""

    group: str
    epoch: int


@frozen
class Staging:
    """Order to load the weights of a model onto the runner's host."""

    model: str


GroupOrder = Joining | Opening | Closing | Leaving | Staging
