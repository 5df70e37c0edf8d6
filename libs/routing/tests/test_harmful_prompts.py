"""Which prompts are refused because upstreams end on them."""

from __future__ import annotations

import itertools
import random
import time

import pytest
from attrs import define, field

from cowslipstep.routing.prompts import (
    EVIDENCE_LIFETIME_S,
    PromptFailure,
    RecordedFailure,
    active_failures,
    harmful_combinations,
    is_harmful,
)

_FIRST_PARTS = ('a', 'b', 'c')
_SECOND_PARTS = tuple('defghijklmnopqrstuvwxyz')
_IN_FLIGHT = 30
_MAX_ATTEMPTS = 2
_MAX_DECISION_S = 0.25


def failures(*prompts: str) -> list[PromptFailure]:
    """Return failures of requests of their own, one letter for each part."""
    return [
        PromptFailure(f'r{number}', tuple(parts))
        for number, parts in enumerate(prompts)
    ]


@pytest.mark.parametrize(
    ('prompts', 'combinations'),
    [
        ([], set()),
        (['ax', 'bx'], set()),
        (['ax', 'bx', 'cx'], {'x'}),
        (['ax', 'ax', 'ax'], {'ax'}),
        (['ax', 'ax', 'bx'], {'x'}),
        (['a', 'b', 'c'], set()),
        (['ax', 'bx', 'cx', 'ay', 'by', 'cy'], {'x', 'y'}),
        # What failed beside a harmful part says nothing of the other parts.
        (['ax', 'ax', 'bx', 'cx', 'a'], {'x'}),
        (['ax', 'bx', 'cx', 'd', 'd'], {'x'}),
    ],
)
def test_common_parts_of_failures_are_harmful(
    prompts: list[str], combinations: set[str]
) -> None:
    assert harmful_combinations(failures(*prompts)) == {
        frozenset(parts) for parts in combinations
    }


def test_failures_of_one_request_are_no_evidence() -> None:
    assert not harmful_combinations((PromptFailure('r', ('x',)),) * 5)


@define
class Traffic:
    """Requests of which some fail; a response comes 30 requests later.

    Attributes
    ----------
    rng
        Source of the parts and failures.
    records
        What failed so far.
    failure_share
        Share of requests that fail by chance.
    harmful_share
        Share of requests with a part that ends upstreams.
    in_flight
        Requests that no daemon knows the end of, with their parts.
    refused
        Number of requests without a harmful part that were refused.
    ended
        Number of attempts that ended an upstream.
    """

    rng: random.Random
    failure_share: float = 0
    harmful_share: float = 0
    records: list[RecordedFailure] = field(factory=list)
    in_flight: list[tuple[str, ...]] = field(factory=list)
    refused: int = 0
    ended: int = 0

    def run(self, requests: int) -> None:
        for _ in range(requests):
            if len(self.in_flight) == _IN_FLIGHT:
                self._end(self.in_flight.pop(0))
            self._send()

    def _send(self) -> None:
        first = self.rng.choice(_FIRST_PARTS)
        second = self.rng.choice(_SECOND_PARTS)
        if self.rng.random() < self.harmful_share:
            second = 'harmful'
        known = active_failures(self.records, {}, 0)
        if is_harmful((first, second), harmful_combinations(known)):
            self.refused += second != 'harmful'
        else:
            self.in_flight.append((first, second))

    def _end(self, parts: tuple[str, ...]) -> None:
        request = str(self.rng.random())
        failed = RecordedFailure(request, PromptFailure(request, parts), 0, 1)
        if 'harmful' in parts:
            self.ended += _MAX_ATTEMPTS
            self.records += (failed,) * _MAX_ATTEMPTS
        elif self.rng.random() < self.failure_share:
            self.records.append(failed)
        else:
            sound = frozenset(parts)
            cleared = (known.without(sound) for known in self.records)
            self.records = [known for known in cleared if known.failure.parts]


@pytest.mark.parametrize('seed', range(5))
def test_independent_failures_refuse_nothing(seed: int) -> None:
    traffic = Traffic(random.Random(seed), failure_share=0.01)
    traffic.run(3000)
    assert not traffic.refused


@pytest.mark.parametrize('seed', range(5))
def test_harmful_prompts_end_few_upstreams(seed: int) -> None:
    traffic = Traffic(random.Random(seed), harmful_share=0.05)
    traffic.run(3000)
    assert not traffic.refused
    # Those that were in flight when the first of them failed.
    assert traffic.ended <= _MAX_ATTEMPTS * 8


def record(name: str, recorded_at_s: float, revision: int) -> RecordedFailure:
    failure = PromptFailure(name, ('a', 'x'))
    return RecordedFailure(name, failure, recorded_at_s, revision)


@pytest.mark.parametrize(
    ('recorded_at_s', 'revision', 'parts'),
    [
        (1000, 9, {'a', 'x'}),
        (1000, 4, {'x'}),
        # Not stored yet, so newer than all that is.
        (1000, 0, {'a', 'x'}),
        (1000 - EVIDENCE_LIFETIME_S, 9, set()),
        (1000 + EVIDENCE_LIFETIME_S, 9, set()),
        (float('nan'), 9, set()),
    ],
)
def test_old_or_refuted_evidence_does_not_count(
    recorded_at_s: float, revision: int, parts: set[str]
) -> None:
    active = active_failures(
        [record('f', recorded_at_s, revision)], {'a': 5}, 1000
    )
    assert set(itertools.chain(*(one.parts for one in active))) == parts


def test_decision_is_quick_on_much_evidence() -> None:
    records = [
        RecordedFailure(
            str(number),
            PromptFailure(
                str(number), tuple(f'{number}-{part}' for part in range(32))
            ),
            number / 1000,
            number + 1,
        )
        for number in range(1000)
    ]
    began_s = time.process_time()
    assert not harmful_combinations(active_failures(records, {}, 1))
    assert time.process_time() - began_s < _MAX_DECISION_S
