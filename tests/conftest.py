"""Fixtures for features that run a local fleet of processes."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from cowslipstep_standins._caller import Caller
from cowslipstep_standins._fleet import LocalFleet, local_fleet
from cowslipstep_standins._plan import FleetShape


@pytest.fixture(scope='module')
def small_fleet() -> Iterator[LocalFleet]:
    """Two daemons, one group of two hosts and one plain-service runner."""
    shape = FleetShape(daemons=2, slots=2, services=1, token_s=0.005)
    with local_fleet(shape) as fleet:
        yield fleet


@pytest.fixture(scope='session')
def caller() -> Caller:
    """A caller that checks the responses."""
    return Caller()
