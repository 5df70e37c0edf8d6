"""A short soak, and the seeds that ever failed."""

from __future__ import annotations

import pytest

from cowslipstep_standins.soak import soak

SECONDS = 15
SHORT_SEED = 1
# A daemon was told to end right after its start, and ended by the signal.
EARLY_STOP_SEED = 3


@pytest.mark.parametrize('seed', [SHORT_SEED, EARLY_STOP_SEED])
def test_promises_hold_under_overlapping_faults(seed: int) -> None:
    report = soak(seed, SECONDS)
    assert not report.broken
    assert report.counted.answered
