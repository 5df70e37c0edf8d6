"""Estimate of busy groups from the work of requests."""

from __future__ import annotations

import types

import pytest

from cowslipstep.fleet import ServedModel
from cowslipstep.serving import _demand

DRAFTING = ServedModel('letters', 'drafting')
SAMPLE_S = 0.02
WORK_S = 0.2
DAEMONS = 61


class Daemon:
    """State of a daemon, with the clock of the estimator."""

    def __init__(self) -> None:
        self.now_s: float = 0
        self.model_work_s: dict[ServedModel, float] = {DRAFTING: 0}
        self.loads = types.SimpleNamespace(reports=())

    def monotonic(self) -> float:
        """Return the simulated time."""
        return self.now_s


@pytest.fixture
def daemon(monkeypatch) -> Daemon:
    daemon_state = Daemon()
    monkeypatch.setattr(_demand, 'time', daemon_state)
    return daemon_state


def reported_groups(estimator: _demand.DemandEstimator) -> float:
    return sum(demand.groups for demand in estimator.own())


def test_first_request_is_no_high_rate(daemon):
    estimator = _demand.DemandEstimator(daemon)
    daemon.now_s += SAMPLE_S
    daemon.model_work_s[DRAFTING] += WORK_S
    # All daemons together must not report more busy groups than their work.
    assert reported_groups(estimator) * DAEMONS < DAEMONS * WORK_S


def test_estimate_converges_to_a_steady_rate(daemon):
    estimator = _demand.DemandEstimator(daemon)
    for _ in range(1000):
        daemon.now_s += SAMPLE_S
        daemon.model_work_s[DRAFTING] += WORK_S * SAMPLE_S
        estimator.own()
    assert reported_groups(estimator) == pytest.approx(WORK_S, rel=0.1)
