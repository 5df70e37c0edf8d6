"""A short soak, and the seeds that ever failed."""

from __future__ import annotations

import pytest

from cowslipstep_standins.soak import soak

SECONDS = 15
SHORT_SEED = 1
# A daemon was told to end right after its start, and ended by the signal.
EARLY_STOP_SEED = 3
# The soak itself started a daemon twice, after a kill and a stop.
TWICE_STARTED_SEED = 1012
# A planned stop ended before a request on a new connection was read.
CUT_BY_STOP_SEED = 1014
# A kept connection was open until the process of a planned stop ended.
KEPT_OPEN_SEED = 2002

SEEDS = (
    SHORT_SEED,
    EARLY_STOP_SEED,
    TWICE_STARTED_SEED,
    CUT_BY_STOP_SEED,
    KEPT_OPEN_SEED,
)


@pytest.mark.parametrize('seed', SEEDS)
def test_promises_hold_under_overlapping_faults(seed: int) -> None:
    report = soak(seed, SECONDS)
    assert not report.violations
    assert report.counts.answered
