"""Prompts that end upstreams are found, and sound ones go on."""

from __future__ import annotations

import pytest
from attrs import evolve

from cowslipstep.replay._poison_cases import PoisonCase
from cowslipstep.replay._poisoned_prompts import replay_poisoned
from cowslipstep.routing.prompts import PromptGuard

_SEEDS = 4
# Requests with a harmful part that may reach upstreams once it is known.
_MAX_LATE = 3
# Sound requests begin at least half as often as without harmful parts.
_MAX_REFUSED_SHARE = 0.5
# What a wrong verdict may last: a first trial, and the time until a request
# with it reaches the daemon that makes the trials.
_MAX_WRONG_S = 15
BASE = PoisonCase(0)
CASES = (
    BASE,
    evolve(BASE, poisoned_share=0.01),
    evolve(BASE, poisoned_share=0.3),
    evolve(BASE, common_parts=1),
    evolve(BASE, common_parts=40),
    evolve(BASE, harmful_parts=2),
    evolve(BASE, with_companion=True),
    evolve(BASE, other_crash_period_s=5),
    evolve(BASE, daemons=1),
    evolve(BASE, daemons=9, evidence_delay_s=5),
    # Two groups of runners, of which the first requests end both.
    evolve(BASE, upstreams=2, requests_per_s=18),
    evolve(BASE, upstreams=20, batch=1),
    evolve(BASE, calm_s=0),
)


# One poisoned prompt had all requests of its route refused for good, as what
# was sound before the crash did not count and no response could begin any more.
@pytest.mark.parametrize('case', CASES, ids=str)
def test_sound_requests_go_on_beside_poisoned(case: PoisonCase) -> None:
    for seed in range(_SEEDS):
        figures = replay_poisoned(evolve(case, seed=seed), PromptGuard)
        assert figures.late_poisoned <= _MAX_LATE * case.harmful_parts
        assert figures.sound_refused <= _MAX_REFUSED_SHARE * figures.sound
        assert figures.wrong_verdict_s <= _MAX_WRONG_S


def test_other_ends_of_upstreams_refuse_few() -> None:
    case = evolve(BASE, poisoned_share=0, other_crash_period_s=2)
    for seed in range(_SEEDS):
        figures = replay_poisoned(evolve(case, seed=seed), PromptGuard)
        assert figures.refused <= figures.sound / 100
        assert figures.wrong_verdict_s <= _MAX_WRONG_S
