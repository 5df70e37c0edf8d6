"""Tests of what a new owner of a cell reads from its groups."""

from __future__ import annotations

import types

import eventlet
import pytest

from cowslipstep.daemon import _cells, _past_prefixes
from cowslipstep.daemon._state import DaemonState
from cowslipstep.model import Address, Cell, Request, SlotRequest
from cowslipstep.routing import (
    CellPolicy,
    CellSlots,
    GroupSlots,
    rendezvous_order,
)

CELL = Cell('drafting', 'ebene')
REQUEST = Request('r1', 'firm', 'urgent', 'drafting')
DAEMONS = rendezvous_order(str(CELL), ('d0', 'd1'))
SETTLED_S = 0.05


class Taken:
    """A cell that comes to the daemon that is second in line for it."""

    def __init__(self) -> None:
        self.groups = ['g0']
        self.state = types.SimpleNamespace(
            configuration=object(),
            live_daemons=DAEMONS,
            settings=types.SimpleNamespace(name=DAEMONS[1]),
            owns=lambda name: DaemonState.owns(self.state, name),
        )
        self.read: list[str] = []
        self.replies: list[object] = []
        self.service = _cells.CellService(self.state)

    def slots(self, *_about, **_options) -> list[GroupSlots]:
        """Return the groups that the daemon knows."""
        return [
            GroupSlots(name, Address(name, 1), 4, float('inf'))
            for name in self.groups
        ]

    def events(self, *about) -> dict:
        """Note whose cache events are read."""
        address = about[-1]
        self.read.append(str(address).partition(':')[0])
        return {'stored': []}

    def ask(self) -> None:
        """Let a request come to the daemon."""
        ask = SlotRequest(CELL, REQUEST, immediate=True)
        self.service.submit(ask, self.replies.append)
        eventlet.sleep(SETTLED_S)

    def update(self) -> None:
        """Let the periodic update run once."""
        self.service._update(CELL)
        eventlet.sleep(SETTLED_S)


@pytest.fixture
def taken(monkeypatch) -> Taken:
    cell = Taken()
    policy = CellPolicy((), (), CellSlots(CELL, {CELL: 4}))
    monkeypatch.setattr(_cells, 'group_slots', cell.slots)
    monkeypatch.setattr(_cells, 'cell_policy', lambda *_about: policy)
    monkeypatch.setattr(_past_prefixes, '_events', cell.events)
    return cell


def test_groups_are_read_again_by_a_new_owner(taken):
    taken.ask()
    taken.state.live_daemons = DAEMONS[1:]
    taken.update()
    taken.update()
    assert taken.read == ['g0', 'g0']


def test_a_group_that_is_heard_of_late_is_read(taken):
    taken.ask()
    taken.groups = ['g0', 'g1']
    taken.update()
    taken.update()
    assert taken.read == ['g0', 'g1']
