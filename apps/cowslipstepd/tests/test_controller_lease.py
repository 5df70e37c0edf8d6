"""State of the controller's lease while a renewal waits for the store."""

from __future__ import annotations

from typing import Any

import pytest

from cowslipstep.model import Address
from cowslipstep.platform._text_dialect import TEXT_DIALECT
from cowslipstep.serving import _controller as controller_module
from cowslipstep.serving._controller import GroupController
from cowslipstep.serving._dialects import Dialects
from cowslipstep.serving._state import ServingState
from cowslipstep.settings import ServingSettings

ANYWHERE = Address('127.0.0.1', 1)


class Lease:
    """A lease whose validity the test sets."""

    may_command = True

    def __init__(self, *_parts: Any) -> None:
        """Ignore the arguments of a lease."""


@pytest.fixture(name='state')
def state_fixture() -> ServingState:
    settings = ServingSettings(
        'd0',
        'north',
        ANYWHERE,
        ANYWHERE,
        '/ready',
        ANYWHERE,
        ANYWHERE,
        platform_reads_per_s=100,
        platform_writes_per_s=100,
    )
    unused: Any = None
    return ServingState(
        settings,
        Dialects(TEXT_DIALECT, unused, unused, unused, unused),
    )


def test_expired_lease_shows_during_a_renewal(
    state: ServingState,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    assert not state.is_controller
    monkeypatch.setattr(controller_module, 'DomainLease', Lease)
    views: Any = None
    GroupController(state, views)
    assert state.is_controller
    # The lease expires while no step of the controller task runs.
    monkeypatch.setattr(Lease, 'may_command', False)
    assert not state.is_controller
