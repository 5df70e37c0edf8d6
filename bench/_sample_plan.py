"""Overloads and failures of a sample day."""

from __future__ import annotations

import pathlib

from attrs import frozen

from cowslipstep.settings import parse_json, structure

_PLANS = pathlib.Path(__file__).with_name('sample_days.json')


@frozen
class Flood:
    """Time slots in which the load of one rank exceeds the capacity.

    Parameters
    ----------
    factor
        Load of the rank, as a multiple of its usual one.
    refused_share
        Share of its requests that are refused.
    others_refused_share
        Share of the requests of other ranks that are refused.
    """

    rank: str
    first_slot: int
    last_slot: int
    factor: float
    refused_share: float
    others_refused_share: float


@frozen
class LostGroup:
    """A group that lost a member, and the group that replaced it.

    Parameters
    ----------
    formed
        Name of the replacement.
    at_s
        Time of the loss, seconds since midnight.
    down_s
        Seconds until the replacement served.
    """

    name: str
    member: str
    formed: str
    at_s: int
    down_s: int


@frozen
class LostDaemon:
    """A daemon that was killed, and the time at which it was restarted.

    Parameters
    ----------
    at_s, next_at_s
        Times of the kill and of the restart, seconds since midnight.
    """

    number: int
    at_s: int
    next_at_s: int


@frozen
class OrderCounts:
    """Number of orders by verdict."""

    completed: int
    not_run: int
    may_have_run: int


@frozen
class DayPlan:
    """Overloads and failures of a day, and the slot with the most requests."""

    midday_slot: int
    floods: tuple[Flood, ...]
    lost_groups: tuple[LostGroup, ...]
    lost_daemon: LostDaemon
    order_counts: OrderCounts
    hangups: int
    replayed_orders: int

    def flood_at(self, slot: int) -> Flood | None:
        """Return the flood of a time slot, or ``None``."""
        for flood in self.floods:
            if flood.first_slot <= slot <= flood.last_slot:
                return flood
        return None


def load_plan(fleet: str) -> DayPlan:
    """Read the plan of the sample day of an example fleet."""
    return structure(parse_json(_PLANS.read_text())[fleet], DayPlan)
