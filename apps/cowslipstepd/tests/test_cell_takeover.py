"""A new owner of a cell reads which prefixes the cell's groups cached."""

from __future__ import annotations

import types

import eventlet
import pytest

from cowslipstep.daemon import _cells, _cached_prefixes
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
SETTLING_S = 0.05


class TakenOverCell:
    """A cell whose owner is the other daemon, until that one is not live."""

    def __init__(self) -> None:
        self.groups = ['g0']
        self.state = types.SimpleNamespace(
            configuration=object(),
            live_daemons=DAEMONS,
            settings=types.SimpleNamespace(name=DAEMONS[1]),
            owns=lambda name: DaemonState.owns(self.state, name),
        )
        self.read_groups: list[str] = []
        self.replies: list[object] = []
        self.service = _cells.CellService(self.state)

    def slots(self, *_about, **_options) -> list[GroupSlots]:
        """Return the groups that the daemon knows."""
        return [
            GroupSlots(name, Address(name, 1), 4, float('inf'))
            for name in self.groups
        ]

    def events(self, *about) -> dict:
        """Record the group whose cache events are read."""
        address = about[-1]
        self.read_groups.append(str(address).partition(':')[0])
        return {'stored': []}

    def submit_request(self) -> None:
        """Submit a slot request to the daemon."""
        slot_request = SlotRequest(CELL, REQUEST, immediate=True)
        self.service.submit(slot_request, self.replies.append)
        eventlet.sleep(SETTLING_S)

    def update(self) -> None:
        """Let the periodic update run once."""
        self.service._update_dispatcher(CELL)
        eventlet.sleep(SETTLING_S)


@pytest.fixture
def taken_over(monkeypatch) -> TakenOverCell:
    cell = TakenOverCell()
    policy = CellPolicy((), (), CellSlots(CELL, {CELL: 4}))
    monkeypatch.setattr(_cells, 'group_slots', cell.slots)
    monkeypatch.setattr(_cells, 'cell_policy', lambda *_about: policy)
    monkeypatch.setattr(_cached_prefixes, '_fetch_events', cell.events)
    return cell


def test_a_new_owner_reads_the_groups_again(taken_over):
    taken_over.submit_request()
    taken_over.state.live_daemons = DAEMONS[1:]
    taken_over.update()
    taken_over.update()
    assert taken_over.read_groups == ['g0', 'g0']


def test_a_group_that_appears_later_is_read(taken_over):
    taken_over.submit_request()
    taken_over.groups = ['g0', 'g1']
    taken_over.update()
    taken_over.update()
    assert taken_over.read_groups == ['g0', 'g1']
