"""Commands of successive planners that arrive late, twice or never."""

from __future__ import annotations

import random

from _fleet_cases import crash, small_fleet
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

CASES = 1000
STEPS = 10
DOMAINS = 2
SIZE = 6
FAULT_SHARES = st.sampled_from((0, 0.3, 0.8))
SEEDS = st.integers(0, 99)
MODELS = st.sampled_from(('pair', 'quad'))
# A command without a response is carried out within this time, or never.
MAX_DELAY_S = 6
# Once no command is late or lost, all groups are complete within this time.
RECOVERY_S = 20


class GroupCommandsMachine(RuleBasedStateMachine):  # noqa: WPS214
    """Groups form, move and end while commands are late, duplicated or lost."""

    def __init__(self) -> None:
        super().__init__()
        self._rng = random.Random(0)
        self._fault_share: float = 0
        self._replay = small_fleet(
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

    @rule(faults=FAULT_SHARES, seed=SEEDS)
    def delay_commands(self, faults: float, seed: int) -> None:
        """Let this share of the commands be late, duplicated or lost."""
        self._fault_share = faults
        self._rng = random.Random(seed)

    @rule(model=MODELS, rank=st.integers(0, 1))
    def crash(self, model: str, rank: int) -> None:
        """Remove a runner for good, if enough others are left."""
        if len(self._replay.runners.alive) > SIZE:
            crash(self._replay, model, rank)

    @rule(pair=st.floats(0, 5), quad=st.floats(0, 4))
    def shift_demand(self, pair: float, quad: float) -> None:
        """Change the demand of both models."""
        self._replay.demand = {'pair': pair, 'quad': quad}

    @rule()
    def replace_planner(self) -> None:
        """Start a planner of the next term, as after a change of the lease."""
        self._replay.replace_planner()

    @invariant()
    def rules_hold(self) -> None:
        """No runner is in two groups, and no group serves incompletely."""
        assert not self._replay.runners.rule_violations

    def teardown(self) -> None:
        """Deliver all commands; at most one runner per domain stays idle."""
        self._fault_share = 0
        self._replay.run_until(self._replay.now_s + RECOVERY_S)
        self.rules_hold()
        alive = self._replay.runners.alive.values()
        idle = [
            one.fabric_domain for one in alive if one.group_position is None
        ]
        assert len(idle) == len(set(idle))

    def _delays(self) -> tuple[float, ...]:
        if self._rng.random() >= self._fault_share:
            return (0,)
        late_s = self._rng.uniform(0, MAX_DELAY_S)
        return self._rng.choice(((), (late_s,), (0, late_s)))


TestGroupCommands = GroupCommandsMachine.TestCase
TestGroupCommands.settings = settings(
    max_examples=CASES,
    stateful_step_count=STEPS,
    derandomize=True,
    deadline=None,
    database=None,
)
