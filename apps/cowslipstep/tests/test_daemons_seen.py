"""Daemons that do not answer are named, and waited for only while live."""

from __future__ import annotations

from typing import Any

import pytest

from cowslipstep.cli import _submit, _top
from cowslipstep.cli._daemons import DaemonView
from cowslipstep.cli._rates import LoadView
from cowslipstep.metrics import DaemonIdentity
from cowslipstep.model import NotRun, Reason
from cowslipstep.platform import PlatformUnavailable

_PLATFORM: Any = None
_LIVE = DaemonIdentity('d0', 1, 'ebene', '127.0.0.1:80')
_LOST = DaemonIdentity('d1', 1, 'ebene', '127.0.0.1:81')
_DOWN = PlatformUnavailable(NotRun(Reason.platform_down), 'down')


class _Looks:
    """Tells at each look which daemons are live."""

    def __init__(self, *looks: Any) -> None:
        self._looks = list(looks)

    def __call__(self, platform: Any) -> Any:
        found = self._looks.pop(0)
        if isinstance(found, Exception):
            raise found
        return found


def _view(daemons: Any) -> tuple[DaemonView, ...]:
    return tuple(
        DaemonView(one.name, '', '', version=2 if one == _LIVE else 0)
        for one in daemons
    )


def test_a_lost_daemon_is_not_waited_for(
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    both = (_LOST, _LIVE)
    looks = _Looks(both, both, _DOWN, (_LIVE,))
    monkeypatch.setattr(_submit, 'read_live', looks)
    monkeypatch.setattr(_submit, 'view_daemons', _view)
    _submit.wait_in_force(_PLATFORM, 2)
    assert '1 of 1 live daemons' in capsys.readouterr().err


def test_daemons_that_are_not_counted_are_named(
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    view = LoadView((), answered=1, silent=('127.0.0.1:81',))
    monkeypatch.setattr(_top, 'connect', lambda platform: _PLATFORM)
    monkeypatch.setattr(_top, 'read_live', _Looks((_LIVE, _LOST)))
    monkeypatch.setattr(_top, 'read_loads', lambda addresses: view)
    _top.top(once=True)
    told = capsys.readouterr().err
    assert told == 'warning: no answer from 127.0.0.1:81, not counted\n'
