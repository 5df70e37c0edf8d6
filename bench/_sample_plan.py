"""What goes wrong on a sample day."""

from __future__ import annotations

import pathlib

from attrs import frozen

from cowslipstep.settings import parse_json, structure

_PLANS = pathlib.Path(__file__).with_name('sample_days.json')


@frozen
class Flood:
    """Slots in which one rank asks for more than the fleet can take."""

    rank: str
    first_slot: int
    last_slot: int
    factor: float
    refused_share: float
    others_refused_share: float


@frozen
class LostGroup:
    """A group that lost a member, and the group formed in its place."""

    name: str
    member: str
    formed: str
    at_s: int
    down_s: int


@frozen
class LostDaemon:
    """A daemon that was killed, and when the next one began."""

    number: int
    at_s: int
    next_at_s: int


@frozen
class OrderCounts:
    """Orders by verdict."""

    completed: int
    not_run: int
    may_have_run: int


@frozen
class DayPlan:
    """All that goes wrong, and the slot in which most work is done."""

    midday_slot: int
    floods: tuple[Flood, ...]
    lost_groups: tuple[LostGroup, ...]
    lost_daemon: LostDaemon
    order_counts: OrderCounts
    hangups: int
    replayed_orders: int

    def flood_at(self, slot: int) -> Flood | None:
        """Return the flood of a slot, if any."""
        for flood in self.floods:
            if flood.first_slot <= slot <= flood.last_slot:
                return flood
        return None


def load_plan(fleet: str) -> DayPlan:
    """Read the plan of the day of an example fleet."""
    return structure(parse_json(_PLANS.read_text())[fleet], DayPlan)
