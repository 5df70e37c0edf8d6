"""Commands name daemons that do not respond, and wait only for live ones."""

from __future__ import annotations

from typing import Any

import pytest

from cowslipstep.cli import _submit, _top
from cowslipstep.cli._daemons import DaemonState
from cowslipstep.cli._request_counts import FleetRequestCounts
from cowslipstep.metrics import DaemonIdentity
from cowslipstep.model import NotRun, Reason
from cowslipstep.platform import PlatformUnavailable

_PLATFORM: Any = None
_LIVE = DaemonIdentity('d0', 1, 'ebene', '127.0.0.1:80')
_LOST = DaemonIdentity('d1', 1, 'ebene', '127.0.0.1:81')
_DOWN = PlatformUnavailable(NotRun(Reason.platform_down), 'down')


class _LiveDaemons:
    """Replaces ``read_live_daemons``: returns or raises one reply a call."""

    def __init__(self, *replies: Any) -> None:
        self._replies = list(replies)

    def __call__(self, platform: Any) -> Any:
        found = self._replies.pop(0)
        if isinstance(found, Exception):
            raise found
        return found


def _states(daemons: Any) -> tuple[DaemonState, ...]:
    return tuple(
        DaemonState(one.name, '', '', version=2 if one == _LIVE else 0)
        for one in daemons
    )


def test_submit_waits_only_for_live_daemons(
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    both = (_LOST, _LIVE)
    replies = _LiveDaemons(both, both, _DOWN, (_LIVE,))
    monkeypatch.setattr(_submit, 'read_live_daemons', replies)
    monkeypatch.setattr(_submit, 'query_daemons', _states)
    _submit.wait_until_in_force(_PLATFORM, 2)
    assert '1 of 1 live daemons' in capsys.readouterr().err


def test_top_warns_of_daemons_without_response(
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    counts = FleetRequestCounts((), answered=1, unreachable=('127.0.0.1:81',))
    monkeypatch.setattr(_top, 'connect', lambda platform: _PLATFORM)
    monkeypatch.setattr(_top, 'read_live_daemons', _LiveDaemons((_LIVE, _LOST)))
    monkeypatch.setattr(_top, 'read_request_counts', lambda addresses: counts)
    _top.top(once=True)
    warnings = capsys.readouterr().err
    assert warnings == (
        'warning: no response from 127.0.0.1:81, its counts are left out\n'
    )
