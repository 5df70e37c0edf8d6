"""Commands to groups that come late, twice or never, from several planners."""

from __future__ import annotations

import random

from _fleet_replay import FleetReplay
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

CASES = 1000
STEPS = 10
DOMAINS = 2
SIZE = 6
FAULTS = st.sampled_from((0, 0.3, 0.8))
SEEDS = st.integers(0, 99)
MODELS = st.sampled_from(('pair', 'quad'))
# Workers that leave a command unanswered carry it out within this time.
LATEST_S = 6
# Once commands come through, all groups are whole within this time.
RECOVERY_S = 20


class GroupOrders(RuleBasedStateMachine):  # noqa: WPS214
    """Groups are formed, reallocated and ended while commands go astray."""

    def __init__(self) -> None:
        super().__init__()
        self._rng = random.Random(0)
        self._faults: float = 0
        self._replay = FleetReplay(
            DOMAINS,
            SIZE,
            {'pair': 2, 'quad': 1},
            self._delays,
        )
        self._replay.run_until(6)

    @rule(seconds=st.floats(0.1, 4))
    def pass_time(self, seconds: float) -> None:
        """Let time pass."""
        self._replay.run_until(self._replay.now_s + seconds)

    @rule(faults=FAULTS, seed=SEEDS)
    def disturb(self, faults: float, seed: int) -> None:
        """Let a part of the commands go astray from now on."""
        self._faults = faults
        self._rng = random.Random(seed)

    @rule(model=MODELS, rank=st.integers(0, 1))
    def crash(self, model: str, rank: int) -> None:
        """Lose a runner, if enough are left."""
        if len(self._replay.runners.alive) > SIZE:
            self._replay.crash(model, rank)

    @rule(pair=st.floats(0, 5), quad=st.floats(0, 4))
    def shift(self, pair: float, quad: float) -> None:
        """Change what is asked for."""
        self._replay.demand = {'pair': pair, 'quad': quad}

    @rule()
    def replace_planner(self) -> None:
        """Let another daemon take the lease."""
        self._replay.replace_planner()

    @invariant()
    def rules_hold(self) -> None:
        """No runner is in two groups, and no group serves in part."""
        assert not self._replay.runners.broken_rules

    def teardown(self) -> None:
        """Let commands through; every runner that can be in a group is."""
        self._faults = 0
        self._replay.run_until(self._replay.now_s + RECOVERY_S)
        self.rules_hold()
        alive = self._replay.runners.alive.values()
        idle = [
            one.fabric_domain for one in alive if one.group_position is None
        ]
        assert len(idle) == len(set(idle))

    def _delays(self) -> tuple[float, ...]:
        if self._rng.random() >= self._faults:
            return (0,)
        late_s = self._rng.uniform(0, LATEST_S)
        return self._rng.choice(((), (late_s,), (0, late_s)))


TestGroupOrders = GroupOrders.TestCase
TestGroupOrders.settings = settings(
    max_examples=CASES,
    stateful_step_count=STEPS,
    derandomize=True,
    deadline=None,
    database=None,
)
