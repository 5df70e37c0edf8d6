"""Tests of limits that several cells share."""

from __future__ import annotations

import pytest
from attrs import define, field

from cowslipstep.model import (
    Address,
    Cell,
    Grant,
    Rank,
    Refusal,
    Request,
    SlotRequest,
)
from cowslipstep.routing import (
    CellPolicy,
    CellSlots,
    Dispatcher,
    GroupSlots,
    UsageTable,
    WorkspaceShare,
)

ADDRESS = Address('127.0.0.1', 1)
RANKS = (Rank('normal', 5),)
OTHER_MODEL = Cell('n', 'a')
CELLS = (Cell('m', 'a'), Cell('m', 'b'), OTHER_MODEL)
MANY = 10000
SLOTS = dict.fromkeys(CELLS, MANY)
TOKENS = 10
DARK = ((), (CELLS[0],), (CELLS[2],))
STEP_S = 0.02
STEPS = 2000


@define
class Shared:
    """Dispatchers of three cells, and one entry daemon that asks them."""

    limits: WorkspaceShare
    dark: tuple[Cell, ...] = ()
    now_s: float = 0
    granted: list[str] = field(factory=list)
    uses: UsageTable = field(init=False)
    dispatchers: dict[Cell, Dispatcher] = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.uses = UsageTable(self.clock)
        self.dispatchers = {cell: self._open(cell) for cell in CELLS}

    def clock(self) -> float:
        return self.now_s

    def ask(self, cell: Cell, passes_uses: bool = True) -> None:
        name = f'{cell}-{self.now_s}'
        request = Request(name, 'w', 'normal', cell.model, 0, TOKENS)
        uses = self.uses.known('w', cell) if passes_uses else ()
        ask = SlotRequest(cell, request, (), True, uses)
        self.dispatchers[cell].submit(ask, self._note)

    def saturate(self, cells, passes_uses: bool = True) -> float:
        """Ask for more than the limit; return the tokens a second."""
        for step in range(STEPS):
            self.now_s += STEP_S
            for cell in cells:
                self.ask(cell, passes_uses)
            if step == STEPS / 2:
                self.granted.clear()
        return 2 * len(self.granted) * TOKENS / (STEPS * STEP_S)

    def _note(self, reply: Grant | Refusal) -> None:
        assert reply.usage is not None
        self.uses.note('w', reply.usage)
        if isinstance(reply, Grant):
            self.granted.append(reply.request_id)

    def _open(self, cell: Cell) -> Dispatcher:
        dispatcher = Dispatcher(self.clock)
        cells = CellSlots(cell, SLOTS)
        policy = CellPolicy(RANKS, (self.limits,), cells)
        ready_until_s = 0 if cell in self.dark else 1e9
        group = GroupSlots(str(cell), ADDRESS, MANY, ready_until_s)
        dispatcher.update(policy, [group])
        return dispatcher


@pytest.mark.parametrize(
    ('cells', 'dark'),
    [
        (CELLS, ()),
        (CELLS[:2], ()),
        (CELLS[:2], CELLS[:1]),
        (CELLS[2:], ()),
        (CELLS, CELLS[2:]),
    ],
)
def test_cells_share_a_rate(cells, dark) -> None:
    shared = Shared(WorkspaceShare('w', tokens_per_s=300), dark)
    assert shared.saturate(cells) == pytest.approx(300, rel=0.1)


def test_silent_cells_exceed_the_rate() -> None:
    shared = Shared(WorkspaceShare('w', tokens_per_s=300))
    per_s = shared.saturate(CELLS, passes_uses=False)
    assert per_s == pytest.approx(600, rel=0.1)


@pytest.mark.parametrize('dark', DARK)
def test_cells_share_the_requests_in_progress(dark) -> None:
    shared = Shared(WorkspaceShare('w', max_in_progress=7), dark)
    shared.saturate(CELLS)
    shared.granted.clear()
    for cell in CELLS:
        shared.ask(cell)
    in_use = sum(
        dispatcher.load.outstanding
        for dispatcher in shared.dispatchers.values()
    )
    assert in_use == 7
    assert not shared.granted
