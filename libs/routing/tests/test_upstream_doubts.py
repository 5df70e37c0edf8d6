"""Replay of hosts that go dark in a fleet of many daemons.

Each daemon sends a few requests a second to the least loaded group. A dark
leader has no requests in progress, so that it looks least loaded.
"""

from __future__ import annotations

import random

import pytest

from cowslipstep.model.loads import LoadReport, UpstreamDoubt
from cowslipstep.routing import doubted_upstreams, trusted_upstreams

DAEMONS = 195
GROUPS = tuple(f'g{number}' for number in range(64))
DARK = frozenset(GROUPS[:3])
REQUESTS_PER_S = 4
STEP_S = 0.05
DURATION_S = 4
# A failed attempt makes its daemon suspect the group for this time.
SUSPICION_S = 2
# Reports reach all daemons by two relays within this time.
REPORT_AGE_S = 0.6


class Fleet:
    """Daemons that suspect the groups at which their own requests failed."""

    def __init__(self, *, shares_doubts: bool) -> None:
        self._shares_doubts = shares_doubts
        self._rng = random.Random(1)
        self._now_s: float = 0
        # Time, daemon and group of each failed attempt.
        self.failures: list[tuple[float, int, str]] = []

    def run(self) -> None:
        """Send the requests of all daemons."""
        while self._now_s < DURATION_S:
            doubted = self._doubted() if self._shares_doubts else frozenset()
            for daemon in range(DAEMONS):
                if self._rng.random() < REQUESTS_PER_S * STEP_S:
                    self._send(daemon, doubted)
            self._now_s += STEP_S

    def _doubted(self) -> frozenset[str]:
        known = {
            (daemon, group)
            for failed_s, daemon, group in self.failures
            if REPORT_AGE_S < self._now_s - failed_s
        }
        return doubted_upstreams(
            LoadReport(str(daemon), 1, 0, doubts=(UpstreamDoubt(group, 1),))
            for daemon, group in known
        )

    def _send(self, daemon: int, doubted: frozenset[str]) -> None:
        suspected = {
            group
            for failed_s, failed_daemon, group in self.failures
            if failed_daemon == daemon and self._now_s - failed_s < SUSPICION_S
        }
        dark = sorted(trusted_upstreams(GROUPS, suspected, doubted) & DARK)
        if dark:
            # Groups without requests in progress are chosen first.
            self.failures.append((self._now_s, daemon, self._rng.choice(dark)))


def test_no_attempt_is_lost_once_doubts_are_known() -> None:
    fleet = Fleet(shares_doubts=True)
    fleet.run()
    last_failed_s = fleet.failures[-1][0]
    assert last_failed_s < REPORT_AGE_S + 4 * STEP_S
    alone = Fleet(shares_doubts=False)
    alone.run()
    # Alone, each daemon tries each dark leader again and again.
    assert alone.failures[-1][0] > DURATION_S - 4 * STEP_S
    assert len(alone.failures) > len(fleet.failures)


@pytest.mark.parametrize('share', [0.5, 1])
def test_doubts_in_many_upstreams_are_ignored(share: float) -> None:
    """The daemons that report them may be cut off from a failure domain."""
    doubted = GROUPS[: round(len(GROUPS) * share)]
    assert trusted_upstreams(GROUPS, (), doubted) == frozenset(GROUPS)
    assert trusted_upstreams(GROUPS, GROUPS[:1], doubted) == frozenset(
        GROUPS[1:]
    )


def test_one_daemon_alone_does_not_cast_doubt() -> None:
    report = LoadReport('a', 1, 0, doubts=(UpstreamDoubt('u', 1),))
    assert not doubted_upstreams([report])
