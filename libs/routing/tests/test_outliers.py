"""Tests of the weights and the ejection of groups."""

from __future__ import annotations

from collections.abc import Iterable

import pytest

from cowslipstep.routing._outliers import OutlierDetector

GROUPS = ('g1', 'g2', 'g3')


class Detector(OutlierDetector):
    """A detector with a clock that the test sets."""

    def __init__(self) -> None:
        self.now_s = 100.0
        super().__init__(lambda: self.now_s)
        self.update_groups(GROUPS)

    def fail(
        self,
        groups: Iterable[str],
        times: int,
        all_groups: Iterable[str] = GROUPS,
    ) -> None:
        for group in groups:
            for _ in range(times):
                self.record_end(group, 0, 0.1, failed=True)
        self.update_groups(all_groups)


@pytest.fixture
def detector() -> Detector:
    return Detector()


def test_failing_group_loses_weight(detector):
    detector.fail(['g1'], 2)
    assert detector.weight('g1') == pytest.approx(0.25)
    assert detector.weight('g2') == 1


def test_common_failures_do_not_lower_weights(detector):
    detector.fail(GROUPS, 5)
    assert [detector.weight(group) for group in GROUPS] == [1, 1, 1]
    assert sum(detector.is_ejected(group) for group in GROUPS) == 1


@pytest.mark.parametrize('group_count', range(1, 5))
def test_one_of_two_groups_may_be_ejected(detector, group_count):
    groups = [f'g{number}' for number in range(group_count)]
    detector.update_groups(groups)
    detector.fail(groups, 3, groups)
    ejected = list(filter(detector.is_ejected, groups))
    assert len(ejected) == min(1, group_count - 1)


def test_old_failures_are_forgotten(detector):
    detector.fail(['g1'], 5)
    assert detector.is_ejected('g1')
    detector.now_s += 11
    detector.update_groups(GROUPS)
    assert not detector.is_ejected('g1')
    assert detector.weight('g1') == 1


def test_slow_group_loses_weight(detector):
    for group, tokens in (('g1', 100), ('g2', 1000), ('g3', 1000)):
        detector.record_end(group, tokens, held_s=1, failed=False)
    detector.update_groups(GROUPS)
    assert detector.weight('g1') == pytest.approx(0.1)
    assert detector.weight('g2') == 1
