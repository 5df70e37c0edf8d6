"""Tests of workspace limits that several cells share."""

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
    WorkspacePolicy,
)

ADDRESS = Address('127.0.0.1', 1)
RANKS = (Rank('normal', 5),)
OTHER_MODEL = Cell('n', 'a')
CELLS = (Cell('m', 'a'), Cell('m', 'b'), OTHER_MODEL)
MANY_SLOTS = 10000
SLOTS = dict.fromkeys(CELLS, MANY_SLOTS)
REQUEST_TOKENS = 10
NOT_READY_CELLS = ((), (CELLS[0],), (CELLS[2],))
STEP_S = 0.02
STEPS = 2000


@define
class SharedLimitHarness:
    """Dispatchers of three cells, and an entry daemon that calls them.

    The groups of the cells in ``not_ready`` are not ready.
    """

    limits: WorkspacePolicy
    not_ready: tuple[Cell, ...] = ()
    now_s: float = 0
    granted: list[str] = field(factory=list)
    usages: UsageTable = field(init=False)
    dispatchers: dict[Cell, Dispatcher] = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.usages = UsageTable(self.clock)
        self.dispatchers = {cell: self._open(cell) for cell in CELLS}

    def clock(self) -> float:
        return self.now_s

    def submit(self, cell: Cell, passes_usages: bool = True) -> None:
        name = f'{cell}-{self.now_s}'
        request = Request(name, 'w', 'normal', cell.model, 0, REQUEST_TOKENS)
        usages = self.usages.of_other_cells('w', cell) if passes_usages else ()
        slot_request = SlotRequest(cell, request, (), True, usages)
        self.dispatchers[cell].submit(slot_request, self._record_reply)

    def saturate(self, cells, passes_usages: bool = True) -> float:
        """Request more than the limit; return the granted tokens a second."""
        for step in range(STEPS):
            self.now_s += STEP_S
            for cell in cells:
                self.submit(cell, passes_usages)
            if step == STEPS / 2:
                self.granted.clear()
        return 2 * len(self.granted) * REQUEST_TOKENS / (STEPS * STEP_S)

    def _record_reply(self, reply: Grant | Refusal) -> None:
        assert reply.usage is not None
        self.usages.record('w', reply.usage)
        if isinstance(reply, Grant):
            self.granted.append(reply.request_id)

    def _open(self, cell: Cell) -> Dispatcher:
        dispatcher = Dispatcher(self.clock)
        cells = CellSlots(cell, SLOTS)
        policy = CellPolicy(RANKS, (self.limits,), cells)
        ready_until_s = 0 if cell in self.not_ready else 1e9
        group = GroupSlots(str(cell), ADDRESS, MANY_SLOTS, ready_until_s)
        dispatcher.update(policy, [group])
        return dispatcher


@pytest.mark.parametrize(
    ('cells', 'not_ready'),
    [
        (CELLS, ()),
        (CELLS[:2], ()),
        (CELLS[:2], CELLS[:1]),
        (CELLS[2:], ()),
        (CELLS, CELLS[2:]),
    ],
)
def test_cells_share_a_rate_limit(cells, not_ready) -> None:
    harness = SharedLimitHarness(
        WorkspacePolicy('w', tokens_per_s=300), not_ready
    )
    assert harness.saturate(cells) == pytest.approx(300, rel=0.1)


def test_cells_without_reports_exceed_the_rate() -> None:
    harness = SharedLimitHarness(WorkspacePolicy('w', tokens_per_s=300))
    per_s = harness.saturate(CELLS, passes_usages=False)
    assert per_s == pytest.approx(600, rel=0.1)


@pytest.mark.parametrize('not_ready', NOT_READY_CELLS)
def test_cells_share_the_in_progress_limit(not_ready) -> None:
    harness = SharedLimitHarness(
        WorkspacePolicy('w', max_in_progress=7), not_ready
    )
    harness.saturate(CELLS)
    harness.granted.clear()
    for cell in CELLS:
        harness.submit(cell)
    in_use = sum(
        dispatcher.load.outstanding
        for dispatcher in harness.dispatchers.values()
    )
    assert in_use == 7
    assert not harness.granted
