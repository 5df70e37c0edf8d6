"""Spread of the load over the leaders of a model."""

from __future__ import annotations

import itertools

import pytest

from cowslipstep.fleet import ServedModel
from cowslipstep.routing.late_loads import LoadSamples, LoadSpread

SMALL = ServedModel('engines', 'small')
LARGE = ServedModel('engines', 'large')


def add(samples: LoadSamples, now_s: float, loads: tuple[int, ...]) -> None:
    """Sample a choice as a daemon does."""
    if samples.is_due(SMALL, now_s):
        samples.add(SMALL, loads, (now_s,))


# A few overloaded leaders among many are hidden by a mean.
def test_samples_are_evaluated_together() -> None:
    samples = LoadSamples()
    add(samples, 0.1, (2,) * 49 + (9,))
    add(samples, 0.3, (2,) * 49 + (3,))
    assert samples.finish_period() == {
        SMALL: LoadSpread(
            mean=pytest.approx(2.08),
            high=3,
            largest=9,
            leaders=50,
            report_age_s=pytest.approx(0.2),
            samples=2,
        )
    }


# Samples of each choice would cost more the more requests there are.
def test_each_interval_is_sampled_once() -> None:
    samples = LoadSamples()
    for now_s in (0, 0.02, 0.04, 0.06, 0.08):
        add(samples, now_s, (1, 1))
    assert samples.is_due(LARGE, 0.08)
    assert samples.finish_period()[SMALL].samples == 1


# Gauges of a model without requests kept the figures of its last period.
def test_periods_do_not_mix() -> None:
    samples = LoadSamples()
    add(samples, 0, (8, 8))
    samples.finish_period()
    add(samples, 1, (1, 1))
    assert samples.finish_period()[SMALL].largest == 1
    assert not samples.finish_period()
    assert not samples.spreads


# A model whose leaders are all avoided has nothing to evaluate.
def test_a_choice_without_leaders_is_no_sample() -> None:
    samples = LoadSamples()
    add(samples, 0, ())
    assert not samples.finish_period()


def test_percentile_is_the_largest_of_few_leaders() -> None:
    for loads in itertools.permutations((1, 2, 7)):
        samples = LoadSamples()
        add(samples, 0, loads)
        assert samples.finish_period()[SMALL].high == 7
