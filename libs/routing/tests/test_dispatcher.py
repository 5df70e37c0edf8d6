"""Tests of the dispatcher of a cell."""

from __future__ import annotations

import itertools

import pytest
from attrs import define, evolve, field

from cowslipstep.model import (
    Address,
    Cell,
    Grant,
    NotRun,
    Rank,
    Reason,
    Refusal,
    Release,
    Renewal,
    Request,
    SlotRequest,
)
from cowslipstep.routing import (
    CellPolicy,
    Dispatcher,
    GroupSlots,
    PrefixMap,
    WorkspaceShare,
)

CELL = Cell('drafting', 'a')
ADDRESS = Address('127.0.0.1', 1)
RANKS = (
    Rank('urgent', 1, floor_share=0.1),
    Rank('normal', 5, floor_share=0.1),
    Rank('background', 60, floor_share=0.2),
)


@define
class Bench:
    """A dispatcher with a clock that the test moves, and its answers."""

    now_s: float = 0
    slots: int = 1
    shares: tuple[WorkspaceShare, ...] = ()
    learning_s: float = 0
    groups: tuple[str, ...] = ('g1',)
    ready_s: float = 1e9
    answers: dict[str, Grant | Refusal] = field(factory=dict)
    order: list[str] = field(factory=list)
    numbers: itertools.count[int] = field(factory=itertools.count)
    prefixes: PrefixMap = field(factory=PrefixMap)
    dispatcher: Dispatcher = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.dispatcher = Dispatcher(
            lambda: self.now_s,
            self.learning_s,
            self.prefixes,
        )
        self.update()

    def update(self) -> None:
        groups = [
            GroupSlots(name, ADDRESS, self.slots, self.ready_s)
            for name in self.groups
        ]
        self.dispatcher.update(CellPolicy(RANKS, self.shares), groups)

    def ask(self, workspace='w', rank='normal', tokens=100, **changes) -> str:
        name = f'{workspace}-{rank}-{next(self.numbers)}'
        request = Request(name, workspace, rank, 'drafting', 0, tokens)
        avoid = changes.pop('avoid', ())
        immediate = changes.pop('immediate', False)
        request = evolve(request, **changes)
        self.dispatcher.submit(
            SlotRequest(CELL, request, avoid, immediate),
            lambda answer: self._note(name, answer),
        )
        return name

    def end(self, name: str, tokens=0, failed=False) -> None:
        self.dispatcher.release(Release(CELL, name, tokens, failed))

    def drain(self) -> list[str]:
        """End grants in turn until no ask waits; return the order."""
        for name in self.order:
            self.end(name)
        return self.order

    def ranks(self) -> list[str]:
        """Ranks in the order of their grants."""
        return [name.split('-')[1] for name in self.drain()]

    def _note(self, name: str, answer: Grant | Refusal) -> None:
        self.answers[name] = answer
        if isinstance(answer, Grant):
            self.order.append(name)


def refusal_of(bench: Bench, name: str) -> NotRun:
    answer = bench.answers[name]
    assert isinstance(answer, Refusal)
    return answer.verdict


def grant_of(bench: Bench, name: str) -> Grant:
    answer = bench.answers[name]
    assert isinstance(answer, Grant)
    return answer


def test_a_policy_without_a_rank_refuses_it() -> None:
    bench = Bench()
    assert refusal_of(bench, bench.ask(rank='other')).reason == 'unknown_rank'


def test_urgent_goes_first() -> None:
    bench = Bench()
    bench.ask(rank='background')
    bench.ask(rank='background')
    bench.ask(rank='normal')
    bench.ask(rank='urgent')
    assert bench.ranks() == ['background', 'urgent', 'normal', 'background']


@pytest.mark.parametrize('flood', ['urgent', 'normal', 'background'])
def test_ranks_keep_floors_in_a_flood_of_any(flood) -> None:
    bench = Bench()
    for _ in range(400):
        bench.ask(rank=flood)
    others = [rank for rank in RANKS if rank.name != flood]
    for _ in range(100):
        for rank in others:
            bench.ask(rank=rank.name)
    window = bench.ranks()[:300]
    for kept in others:
        assert window.count(kept.name) >= 0.9 * kept.floor_share * 300


def test_floors_count_tokens_and_not_requests() -> None:
    bench = Bench()
    for _ in range(600):
        bench.ask(rank='urgent', tokens=100)
        bench.ask(rank='background', tokens=1000)
    window = bench.drain()[:500]
    background = 1000 * sum('background' in name for name in window)
    urgent = 100 * sum('urgent' in name for name in window)
    assert background / (background + urgent) == pytest.approx(0.2, abs=0.02)


def test_a_small_workspace_passes_a_backlog() -> None:
    bench = Bench()
    for _ in range(50):
        bench.ask('large')
    small = bench.ask('small')
    assert bench.drain().index(small) <= 2


def test_workspaces_share_tokens_by_weight() -> None:
    bench = Bench(shares=(WorkspaceShare('a', weight=3), WorkspaceShare('b')))
    for _ in range(100):
        bench.ask('a', tokens=50)
        bench.ask('b', tokens=100)
    window = bench.drain()[:70]
    heavy = 50 * sum(name.startswith('a') for name in window)
    light = 100 * sum(name.startswith('b') for name in window)
    assert heavy / light == pytest.approx(3, abs=0.4)


def test_unexpected_tokens_are_paid_for() -> None:
    bench = Bench()
    honest = [bench.ask('honest') for _ in range(40)]
    for _ in range(40):
        bench.ask('sly', tokens=10)
    for name in bench.order:
        bench.end(name, 100)
    ends = [bench.order.index(served) for served in honest]
    assert max(ends[:20]) < 50


def test_grants_run_out_and_are_taken_back() -> None:
    bench = Bench()
    kept = bench.ask(timeout_s=60)
    waiting = bench.ask(timeout_s=60)
    bench.now_s = 9
    bench.dispatcher.renew(Renewal(CELL, kept, 10))
    bench.now_s = 12
    bench.update()
    assert waiting not in bench.answers
    bench.now_s = 19.5
    bench.update()
    assert grant_of(bench, waiting)
    assert bench.dispatcher.load.outstanding == 1


def test_another_dispatchers_grant_is_taken_over() -> None:
    bench = Bench()
    bench.dispatcher.renew(
        Renewal(CELL, 'elsewhere', 5, 'g1', 'w', 'normal', 10),
    )
    waiting = bench.ask()
    assert waiting not in bench.answers
    bench.end('elsewhere', 5)
    assert grant_of(bench, waiting)


def test_a_late_renewal_does_not_revive_a_grant() -> None:
    bench = Bench()
    name = bench.ask()
    bench.end(name)
    bench.dispatcher.renew(Renewal(CELL, name, 5, 'g1', 'w', 'normal', 10))
    assert grant_of(bench, bench.ask())


def test_a_new_or_paused_dispatcher_is_cautious() -> None:
    bench = Bench(slots=4, learning_s=1)
    for _ in range(8):
        bench.ask()
    granted = []
    for now_s in (0, 0.3, 0.6, 0.9, 1.2):
        bench.now_s = now_s
        bench.update()
        granted.append(len(bench.order))
    assert granted == [0, 0, 2, 2, 4]
    bench.now_s = 3
    for name in bench.order[:4]:
        bench.update()
        bench.end(name)
    assert len(bench.order) == 4
    bench.now_s = 3.6
    bench.update()
    assert len(bench.order) == 6


def test_readiness_is_checked_at_the_grant() -> None:
    bench = Bench(ready_s=5)
    running = bench.ask()
    waiting = bench.ask()
    assert grant_of(bench, running).startable_s == 5
    bench.now_s = 6
    bench.end(running)
    assert waiting not in bench.answers


def test_avoided_groups_block_nobody() -> None:
    bench = Bench(groups=('g1', 'g2'))
    bench.ask()
    bench.ask()
    picky = bench.ask(avoid=('g1',))
    other = bench.ask()
    by_group = {grant_of(bench, name).group: name for name in bench.order}
    bench.end(by_group['g1'])
    assert grant_of(bench, other).group == 'g1'
    bench.end(by_group['g2'])
    assert grant_of(bench, picky).group == 'g2'
    hopeless = bench.ask(avoid=('g1', 'g2'))
    assert refusal_of(bench, hopeless).reason == Reason.no_capacity


def test_late_and_withdrawn_asks_leave_the_queue() -> None:
    bench = Bench()
    bench.ask(timeout_s=60)
    late = bench.ask(timeout_s=2)
    gone = bench.ask(timeout_s=60)
    bench.end(gone)
    bench.now_s = 3
    bench.update()
    assert refusal_of(bench, late).reason == Reason.deadline
    assert bench.dispatcher.load.queued == 0


def test_an_immediate_ask_never_waits() -> None:
    bench = Bench()
    bench.ask()
    assert refusal_of(bench, bench.ask(immediate=True)).reason == 'no_capacity'
    assert bench.dispatcher.load.queued == 0


def test_what_will_be_late_is_refused_at_once() -> None:
    bench = Bench()
    for _ in range(20):
        bench.ask(timeout_s=1000)
        bench.ask(timeout_s=1000)
        bench.now_s += 1
        bench.end(bench.order[-1])
    last = [bench.ask(timeout_s=1000) for _ in range(4)]
    late = refusal_of(bench, last[-1])
    assert late.reason == Reason.deadline
    assert late.retry_after_s > 4


def test_no_ready_group_sheds_nothing() -> None:
    bench = Bench()
    for _ in range(9):
        bench.ask(timeout_s=1000)
        bench.ask(timeout_s=1000)
        bench.now_s += 0.5
        bench.end(bench.order[-1])
    bench.ready_s = bench.now_s
    for _ in range(100):
        bench.update()
        bench.now_s += 0.1
    bench.ready_s = 1e9
    bench.update()
    assert len(bench.drain()) == 18


def test_background_is_shed_first() -> None:
    bench = Bench()
    first = bench.ask('w', 'urgent')
    background = [bench.ask('w', 'background') for _ in range(9999)]
    bench.ask('w', 'urgent')
    urgent = bench.ask('w', 'urgent')
    assert bench.dispatcher.load.queued == 10000
    assert urgent not in bench.answers
    assert refusal_of(bench, background[-1]).reason == Reason.queue_full
    assert grant_of(bench, first)


def test_limits_of_a_workspace_hold() -> None:
    share = WorkspaceShare('w', tokens_per_s=100, max_in_progress=2)
    bench = Bench(slots=100, shares=(share,))
    allowed = [bench.ask(tokens=60) for _ in range(2)]
    assert refusal_of(bench, bench.ask(tokens=60)).reason == Reason.limit
    for name in allowed:
        bench.end(name)
    refused = refusal_of(bench, bench.ask(tokens=60))
    assert refused.retry_after_s == pytest.approx(0.2)
    bench.now_s = 0.21
    assert grant_of(bench, bench.ask(tokens=60))


def test_at_most_a_third_of_failing_groups_go() -> None:
    bench = Bench(slots=100, groups=('g1', 'g2', 'g3'))
    for _ in range(60):
        name = bench.ask()
        bench.end(name, 10, grant_of(bench, name).group != 'g3')
    bench.order.clear()
    groups = [grant_of(bench, bench.ask()).group for _ in range(30)]
    assert len(set(groups)) == 2
    assert groups.count('g3') > 20


def test_an_ejected_group_serves_as_a_last_choice() -> None:
    bench = Bench(slots=100, groups=('g1', 'g2'))
    for _ in range(6):
        name = bench.ask()
        bench.end(name, 10, grant_of(bench, name).group == 'g1')
    groups = {grant_of(bench, bench.ask()).group for _ in range(10)}
    assert groups == {'g2'}
    last = bench.ask(avoid=('g2',))
    assert grant_of(bench, last).group == 'g1'


def test_a_slow_group_gets_less() -> None:
    bench = Bench(slots=10, groups=('g1', 'g2', 'g3'))
    for _ in range(30):
        running = [bench.ask() for _ in range(3)]
        bench.now_s += 1
        by_group = {grant_of(bench, name).group: name for name in running}
        bench.end(by_group.pop('g2'), 10)
        for name in by_group.values():
            bench.end(name, 100)
        bench.update()
    groups = [grant_of(bench, bench.ask()).group for _ in range(12)]
    assert groups.count('g2') <= 2


def test_the_holder_of_a_prefix_is_preferred() -> None:
    bench = Bench(slots=8, groups=('g1', 'g2'))
    names = [bench.ask(prefix_hash=7) for _ in range(6)]
    groups = [grant_of(bench, name).group for name in names]
    assert len(set(groups[:3])) == 1
    assert groups.count(groups[0]) < 6


def test_a_hint_is_followed_and_bounded() -> None:
    bench = Bench(slots=8, groups=('g1', 'g2'))
    bench.prefixes.hint(7, 'g2')
    bench.prefixes.hint(7, 'g1')
    bench.prefixes.hint(8, 'gone')
    assert grant_of(bench, bench.ask(prefix_hash=8)).group == 'g1'
    names = [bench.ask(prefix_hash=7) for _ in range(6)]
    groups = [grant_of(bench, name).group for name in names]
    assert set(groups[:3]) == {'g2'}
    assert groups.count('g2') < 6
