"""Short soaks: one seed by default, and the seeds that failed before."""

from __future__ import annotations

import pytest

from cowslipstep_standins.soak import soak

FAULTS_S = 15
DEFAULT_SEED = 1
# A daemon received SIGTERM right after its start, before it had a handler,
# and ended by the signal.
EARLY_STOP_SEED = 3
# The soak itself started a daemon twice, after a kill and a stop of the same
# daemon.
TWICE_STARTED_SEED = 1012
# A planned stop ended before the daemon read a request on a new connection.
UNREAD_REQUEST_SEED = 1014
# A persistent connection stayed open until the end of the process in a planned
# stop.
OPEN_CONNECTION_SEED = 2002

SEEDS = (
    DEFAULT_SEED,
    EARLY_STOP_SEED,
    TWICE_STARTED_SEED,
    UNREAD_REQUEST_SEED,
    OPEN_CONNECTION_SEED,
)


@pytest.mark.parametrize('seed', SEEDS)
def test_promises_hold_under_overlapping_faults(seed: int) -> None:
    report = soak(seed, FAULTS_S)
    assert not report.violations
    assert report.counts.answered
