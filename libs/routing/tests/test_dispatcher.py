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
    WorkspacePolicy,
)

CELL = Cell('drafting', 'a')
ADDRESS = Address('127.0.0.1', 1)
RANKS = (
    Rank('urgent', 1, floor_share=0.1),
    Rank('normal', 5, floor_share=0.1),
    Rank('background', 60, floor_share=0.2),
)


@define
class DispatcherHarness:
    """A dispatcher with a clock that the test sets, and its replies.

    Grants are appended to ``grant_order`` by the name of the request.
    """

    now_s: float = 0
    slots: int = 1
    policies: tuple[WorkspacePolicy, ...] = ()
    learning_s: float = 0
    groups: tuple[str, ...] = ('g1',)
    ready_until_s: float = 1e9
    replies: dict[str, Grant | Refusal] = field(factory=dict)
    grant_order: list[str] = field(factory=list)
    request_numbers: itertools.count[int] = field(factory=itertools.count)
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
            GroupSlots(name, ADDRESS, self.slots, self.ready_until_s)
            for name in self.groups
        ]
        self.dispatcher.update(CellPolicy(RANKS, self.policies), groups)

    def submit(
        self, workspace='w', rank='normal', tokens=100, **changes
    ) -> str:
        name = f'{workspace}-{rank}-{next(self.request_numbers)}'
        request = Request(name, workspace, rank, 'drafting', 0, tokens)
        avoided_groups = changes.pop('avoided_groups', ())
        immediate = changes.pop('immediate', False)
        request = evolve(request, **changes)
        self.dispatcher.submit(
            SlotRequest(CELL, request, avoided_groups, immediate),
            lambda slot_reply: self._record_reply(name, slot_reply),
        )
        return name

    def release(self, name: str, tokens=0, failed=False) -> None:
        self.dispatcher.release(Release(CELL, name, tokens, failed))

    def release_all(self) -> list[str]:
        """End grants in their order until none is left; return the order."""
        for name in self.grant_order:
            self.release(name)
        return self.grant_order

    def granted_ranks(self) -> list[str]:
        """Ranks in the order of their grants."""
        return [name.split('-')[1] for name in self.release_all()]

    def _record_reply(self, name: str, slot_reply: Grant | Refusal) -> None:
        self.replies[name] = slot_reply
        if isinstance(slot_reply, Grant):
            self.grant_order.append(name)


def refusal_of(harness: DispatcherHarness, name: str) -> NotRun:
    slot_reply = harness.replies[name]
    assert isinstance(slot_reply, Refusal)
    return slot_reply.verdict


def grant_of(harness: DispatcherHarness, name: str) -> Grant:
    slot_reply = harness.replies[name]
    assert isinstance(slot_reply, Grant)
    return slot_reply


def test_request_of_unknown_rank_is_refused() -> None:
    harness = DispatcherHarness()
    assert (
        refusal_of(harness, harness.submit(rank='other')).reason
        == 'unknown_rank'
    )


def test_most_urgent_rank_is_granted_first() -> None:
    harness = DispatcherHarness()
    harness.submit(rank='background')
    harness.submit(rank='background')
    harness.submit(rank='normal')
    harness.submit(rank='urgent')
    assert harness.granted_ranks() == [
        'background',
        'urgent',
        'normal',
        'background',
    ]


@pytest.mark.parametrize('overloading', ['urgent', 'normal', 'background'])
def test_ranks_keep_floors_under_overload(overloading) -> None:
    harness = DispatcherHarness()
    for _ in range(400):
        harness.submit(rank=overloading)
    others = [rank for rank in RANKS if rank.name != overloading]
    for _ in range(100):
        for rank in others:
            harness.submit(rank=rank.name)
    first_grants = harness.granted_ranks()[:300]
    for rank in others:
        assert first_grants.count(rank.name) >= 0.9 * rank.floor_share * 300


def test_floors_count_tokens_and_not_requests() -> None:
    harness = DispatcherHarness()
    for _ in range(600):
        harness.submit(rank='urgent', tokens=100)
        harness.submit(rank='background', tokens=1000)
    first_grants = harness.release_all()[:500]
    background = 1000 * sum('background' in name for name in first_grants)
    urgent = 100 * sum('urgent' in name for name in first_grants)
    assert background / (background + urgent) == pytest.approx(0.2, abs=0.02)


def test_small_workspace_overtakes_a_backlog() -> None:
    harness = DispatcherHarness()
    for _ in range(50):
        harness.submit('large')
    small = harness.submit('small')
    assert harness.release_all().index(small) <= 2


def test_workspaces_share_tokens_by_weight() -> None:
    harness = DispatcherHarness(
        policies=(WorkspacePolicy('a', weight=3), WorkspacePolicy('b'))
    )
    for _ in range(100):
        harness.submit('a', tokens=50)
        harness.submit('b', tokens=100)
    first_grants = harness.release_all()[:70]
    heavy = 50 * sum(name.startswith('a') for name in first_grants)
    light = 100 * sum(name.startswith('b') for name in first_grants)
    assert heavy / light == pytest.approx(3, abs=0.4)


def test_tokens_beyond_the_estimate_are_charged() -> None:
    harness = DispatcherHarness()
    accurate = [harness.submit('accurate') for _ in range(40)]
    for _ in range(40):
        harness.submit('underestimated', tokens=10)
    for name in harness.grant_order:
        harness.release(name, 100)
    ends = [harness.grant_order.index(served) for served in accurate]
    assert max(ends[:20]) < 50


def test_grants_expire_unless_renewed() -> None:
    harness = DispatcherHarness()
    renewed = harness.submit(timeout_s=60)
    waiting = harness.submit(timeout_s=60)
    harness.now_s = 9
    harness.dispatcher.renew(Renewal(CELL, renewed, 10))
    harness.now_s = 12
    harness.update()
    assert waiting not in harness.replies
    harness.now_s = 19.5
    harness.update()
    assert grant_of(harness, waiting)
    assert harness.dispatcher.load.outstanding == 1


def test_grant_of_other_dispatcher_is_taken_over() -> None:
    harness = DispatcherHarness()
    harness.dispatcher.renew(
        Renewal(CELL, 'elsewhere', 5, 'g1', 'w', 'normal', 10),
    )
    waiting = harness.submit()
    assert waiting not in harness.replies
    harness.release('elsewhere', 5)
    assert grant_of(harness, waiting)


def test_late_renewal_does_not_revive_a_grant() -> None:
    harness = DispatcherHarness()
    name = harness.submit()
    harness.release(name)
    harness.dispatcher.renew(Renewal(CELL, name, 5, 'g1', 'w', 'normal', 10))
    assert grant_of(harness, harness.submit())


def test_new_or_paused_dispatcher_grants_fewer() -> None:
    harness = DispatcherHarness(slots=4, learning_s=1)
    for _ in range(8):
        harness.submit()
    granted = []
    for now_s in (0, 0.3, 0.6, 0.9, 1.2):
        harness.now_s = now_s
        harness.update()
        granted.append(len(harness.grant_order))
    assert granted == [0, 0, 2, 2, 4]
    harness.now_s = 3
    for name in harness.grant_order[:4]:
        harness.update()
        harness.release(name)
    assert len(harness.grant_order) == 4
    harness.now_s = 3.6
    harness.update()
    assert len(harness.grant_order) == 6


def test_readiness_is_checked_at_the_grant() -> None:
    harness = DispatcherHarness(ready_until_s=5)
    running = harness.submit()
    waiting = harness.submit()
    assert grant_of(harness, running).startable_s == 5
    harness.now_s = 6
    harness.release(running)
    assert waiting not in harness.replies


def test_avoided_group_does_not_block_others() -> None:
    harness = DispatcherHarness(groups=('g1', 'g2'))
    harness.submit()
    harness.submit()
    avoiding_one = harness.submit(avoided_groups=('g1',))
    other = harness.submit()
    by_group = {
        grant_of(harness, name).group: name for name in harness.grant_order
    }
    harness.release(by_group['g1'])
    assert grant_of(harness, other).group == 'g1'
    harness.release(by_group['g2'])
    assert grant_of(harness, avoiding_one).group == 'g2'
    avoiding_all = harness.submit(avoided_groups=('g1', 'g2'))
    assert refusal_of(harness, avoiding_all).reason == Reason.no_capacity


def test_expired_and_withdrawn_leave_the_queue() -> None:
    harness = DispatcherHarness()
    harness.submit(timeout_s=60)
    refused_late = harness.submit(timeout_s=2)
    withdrawn = harness.submit(timeout_s=60)
    harness.release(withdrawn)
    harness.now_s = 3
    harness.update()
    assert refusal_of(harness, refused_late).reason == Reason.deadline
    assert harness.dispatcher.load.queued == 0


def test_immediate_request_is_not_queued() -> None:
    harness = DispatcherHarness()
    harness.submit()
    assert (
        refusal_of(harness, harness.submit(immediate=True)).reason
        == 'no_capacity'
    )
    assert harness.dispatcher.load.queued == 0


def test_request_with_too_long_wait_is_refused() -> None:
    harness = DispatcherHarness()
    for _ in range(20):
        harness.submit(timeout_s=1000)
        harness.submit(timeout_s=1000)
        harness.now_s += 1
        harness.release(harness.grant_order[-1])
    last_requests = [harness.submit(timeout_s=1000) for _ in range(4)]
    refused_late = refusal_of(harness, last_requests[-1])
    assert refused_late.reason == Reason.deadline
    assert refused_late.retry_after_s > 4


def test_nothing_is_shed_while_no_group_is_ready() -> None:
    harness = DispatcherHarness()
    for _ in range(9):
        harness.submit(timeout_s=1000)
        harness.submit(timeout_s=1000)
        harness.now_s += 0.5
        harness.release(harness.grant_order[-1])
    harness.ready_until_s = harness.now_s
    for _ in range(100):
        harness.update()
        harness.now_s += 0.1
    harness.ready_until_s = 1e9
    harness.update()
    assert len(harness.release_all()) == 18


def test_least_urgent_rank_is_shed_first() -> None:
    harness = DispatcherHarness()
    first = harness.submit('w', 'urgent')
    background = [harness.submit('w', 'background') for _ in range(9999)]
    harness.submit('w', 'urgent')
    urgent = harness.submit('w', 'urgent')
    assert harness.dispatcher.load.queued == 10000
    assert urgent not in harness.replies
    assert refusal_of(harness, background[-1]).reason == Reason.queue_full
    assert grant_of(harness, first)


def test_limits_of_a_workspace_hold() -> None:
    policy = WorkspacePolicy('w', tokens_per_s=100, max_in_progress=2)
    harness = DispatcherHarness(slots=100, policies=(policy,))
    allowed = [harness.submit(tokens=60) for _ in range(2)]
    assert refusal_of(harness, harness.submit(tokens=60)).reason == Reason.limit
    for name in allowed:
        harness.release(name)
    refused = refusal_of(harness, harness.submit(tokens=60))
    assert refused.retry_after_s == pytest.approx(0.2)
    harness.now_s = 0.21
    assert grant_of(harness, harness.submit(tokens=60))


def test_at_most_a_third_of_the_groups_is_ejected() -> None:
    harness = DispatcherHarness(slots=100, groups=('g1', 'g2', 'g3'))
    for _ in range(60):
        name = harness.submit()
        harness.release(name, 10, grant_of(harness, name).group != 'g3')
    harness.grant_order.clear()
    groups = [grant_of(harness, harness.submit()).group for _ in range(30)]
    assert len(set(groups)) == 2
    assert groups.count('g3') > 20


def test_ejected_group_is_the_last_choice() -> None:
    harness = DispatcherHarness(slots=100, groups=('g1', 'g2'))
    for _ in range(6):
        name = harness.submit()
        harness.release(name, 10, grant_of(harness, name).group == 'g1')
    groups = {grant_of(harness, harness.submit()).group for _ in range(10)}
    assert groups == {'g2'}
    avoiding_one = harness.submit(avoided_groups=('g2',))
    assert grant_of(harness, avoiding_one).group == 'g1'


def test_slow_group_gets_fewer_requests() -> None:
    harness = DispatcherHarness(slots=10, groups=('g1', 'g2', 'g3'))
    for _ in range(30):
        running = [harness.submit() for _ in range(3)]
        harness.now_s += 1
        by_group = {grant_of(harness, name).group: name for name in running}
        harness.release(by_group.pop('g2'), 10)
        for name in by_group.values():
            harness.release(name, 100)
        harness.update()
    groups = [grant_of(harness, harness.submit()).group for _ in range(12)]
    assert groups.count('g2') <= 2


def test_group_with_cached_prefix_is_preferred() -> None:
    harness = DispatcherHarness(slots=8, groups=('g1', 'g2'))
    names = [harness.submit(prefix_hash=7) for _ in range(6)]
    groups = [grant_of(harness, name).group for name in names]
    assert len(set(groups[:3])) == 1
    assert groups.count(groups[0]) < 6


def test_hint_is_followed_until_load_is_uneven() -> None:
    harness = DispatcherHarness(slots=8, groups=('g1', 'g2'))
    harness.prefixes.record_hint(7, 'g2')
    harness.prefixes.record_hint(7, 'g1')
    harness.prefixes.record_hint(8, 'gone')
    assert grant_of(harness, harness.submit(prefix_hash=8)).group == 'g1'
    names = [harness.submit(prefix_hash=7) for _ in range(6)]
    groups = [grant_of(harness, name).group for name in names]
    assert set(groups[:3]) == {'g2'}
    assert groups.count('g2') < 6
