"""Events and downtime of the groups that a sample day loses."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from _sample_plan import LostGroup

from cowslipstep.metrics import TIMELINE_SLOT_S, Event, TimeSlotAmount

_MS_PER_S = 1000


def group_events(
    groups: Iterable[LostGroup],
    midnight_unix_s: float,
) -> Iterator[Event]:
    """Yield the events of the loss and the replacement of groups."""
    for group in groups:
        lost_s = midnight_unix_s + group.at_s
        member, name = group.member, group.name
        yield Event('member_lost', member, f'of group {name}', lost_s)
        yield Event('group_dissolved', name, f'lost {member}', lost_s)
        formed_s = lost_s + group.down_s
        yield Event('group_formed', group.formed, 'hosts are free', formed_s)


def group_downtime(
    groups: Iterable[LostGroup],
    model: str,
) -> Iterator[TimeSlotAmount]:
    """Yield the downtime of groups, in milliseconds, by time slot."""
    for group in groups:
        end_s = group.at_s + group.down_s
        for slot in range(
            group.at_s // TIMELINE_SLOT_S, end_s // TIMELINE_SLOT_S + 1
        ):
            begin_s = max(group.at_s, slot * TIMELINE_SLOT_S)
            until_s = min(end_s, (slot + 1) * TIMELINE_SLOT_S)
            yield TimeSlotAmount(slot, model, (until_s - begin_s) * _MS_PER_S)
