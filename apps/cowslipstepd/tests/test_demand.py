"""How busy groups are taken to be, from the requests that come."""

from __future__ import annotations

import types

import pytest

from cowslipstep.serving import _demand

SAMPLE_S = 0.02
WORK_S = 0.2
DAEMONS = 61


class Daemon:
    """A daemon to which a request comes now and then."""

    def __init__(self) -> None:
        self.now_s: float = 0
        self.model_work_s: dict[str, float] = {'drafting': 0}
        self.loads = types.SimpleNamespace(reports=())

    def monotonic(self) -> float:
        """Return the time."""
        return self.now_s


@pytest.fixture
def daemon(monkeypatch) -> Daemon:
    reporting = Daemon()
    monkeypatch.setattr(_demand, 'time', reporting)
    return reporting


def reported_groups(watch: _demand.DemandEstimator) -> float:
    return sum(demand.groups for demand in watch.own())


def test_first_request_is_not_taken_for_a_rate(daemon):
    watch = _demand.DemandEstimator(daemon)
    daemon.now_s += SAMPLE_S
    daemon.model_work_s['drafting'] += WORK_S
    # All daemons together keep no more groups busy than they have work for.
    assert reported_groups(watch) * DAEMONS < DAEMONS * WORK_S


def test_rate_of_steady_requests_is_found(daemon):
    watch = _demand.DemandEstimator(daemon)
    for _ in range(1000):
        daemon.now_s += SAMPLE_S
        daemon.model_work_s['drafting'] += WORK_S * SAMPLE_S
        watch.own()
    assert reported_groups(watch) == pytest.approx(WORK_S, rel=0.1)
