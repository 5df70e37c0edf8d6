"""Incomplete responses are counted and recorded, hangups separately."""

from __future__ import annotations

import time
from typing import Any

import pytest

from cowslipstep.daemon._hangup import CallerGone
from cowslipstep.daemon._outcomes import OutcomeLog, RequestLabels
from cowslipstep.daemon._run_state import RunState, start_run
from cowslipstep.daemon._state import DaemonState
from cowslipstep.model import (
    Address,
    Completed,
    MayHaveRun,
    Reason,
    RequestError,
    Verdict,
)
from cowslipstep.settings import DaemonSettings

_ANYWHERE = Address('127.0.0.1', 0)
_LABELS = RequestLabels('r1', 'firm', 'urgent')
_CUT = RequestError(MayHaveRun(Reason.upstream_cut), 'cut', 502)
_HANGUPS = (CallerGone(), GeneratorExit())


@pytest.fixture(name='state')
def state_fixture() -> DaemonState:
    settings = DaemonSettings('d0', 'ebene', _ANYWHERE, _ANYWHERE, _ANYWHERE)
    platform: Any = None
    return DaemonState(settings, platform)


@pytest.fixture(name='run')
def run_fixture() -> RunState:
    return start_run(timeout_s=1)


def _end_with_error(
    state: DaemonState, run: RunState, error: BaseException
) -> None:
    with pytest.raises(type(error)):
        with OutcomeLog(state, 'orders').recorded(_LABELS, run):
            raise error


def _counts(state: DaemonState) -> dict[str, float]:
    return {
        sample.key.render().removeprefix('cowslipstep_'): sample.amount
        for sample in state.counters.samples
    }


def _counter_line(name: str, verdict: str, of: str = '') -> str:
    prefix = f'of="{of}",' if of else ''
    return (
        f'{name}_total{{{prefix}workspace="firm",rank="urgent",'
        f'verdict="{verdict}"}}'
    )


@pytest.mark.parametrize('hangup', _HANGUPS)
@pytest.mark.parametrize('sent', [False, True])
def test_a_hangup_is_counted_with_its_verdict(
    state: DaemonState,
    run: RunState,
    hangup: BaseException,
    sent: bool,
) -> None:
    if sent:
        run.record_sending()
    _end_with_error(state, run, hangup)
    verdict = 'may_have_run' if sent else 'not_run'
    assert _counts(state) == {
        _counter_line('hangups', verdict, of='orders'): 1,
        _counter_line('orders', verdict): 1,
    }


def test_an_error_is_not_counted_as_hangup(
    state: DaemonState, run: RunState
) -> None:
    _end_with_error(state, run, _CUT)
    assert _counts(state) == {_counter_line('orders', 'may_have_run'): 1}


def test_a_complete_response_is_not_recorded(
    state: DaemonState,
    run: RunState,
) -> None:
    with OutcomeLog(state, 'orders').recorded(_LABELS, run):
        run.response_begun = True
        run.verdict = Completed()
    assert _counts(state) == {_counter_line('orders', 'completed'): 1}
    assert not state.requests.records


def test_a_cut_response_is_recorded(
    state: DaemonState,
    run: RunState,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(time, 'time', lambda: 7)
    run.response_begun = True
    _end_with_error(state, run, _CUT)
    record = state.requests.records[0]
    assert (record.request_id, record.workspace, record.rank) == (
        'r1',
        'firm',
        'urgent',
    )
    assert (record.verdict, record.reason) == ('may_have_run', 'upstream_cut')
    assert record.at_unix_s == 7


def test_an_error_before_a_response_is_unrecorded(
    state: DaemonState,
    run: RunState,
) -> None:
    _end_with_error(state, run, _CUT)
    assert not state.requests.records


@pytest.mark.parametrize('response_begun', [False, True])
@pytest.mark.parametrize('hangup', _HANGUPS)
def test_a_hangup_after_sending_is_recorded(
    state: DaemonState,
    run: RunState,
    hangup: BaseException,
    response_begun: bool,
) -> None:
    run.record_sending()
    run.response_begun = response_begun
    _end_with_error(state, run, hangup)
    records = [(one.verdict, one.reason) for one in state.requests.records]
    assert records == [('may_have_run', 'caller_gone')]


def test_a_hangup_before_sending_is_not_recorded(
    state: DaemonState,
    run: RunState,
) -> None:
    _end_with_error(state, run, CallerGone())
    assert not state.requests.records


@pytest.mark.parametrize(
    ('verdict', 'tokens'),
    [(Completed(), 30), (MayHaveRun(Reason.upstream_cut), 0)],
)
def test_tokens_of_complete_responses_are_counted(
    state: DaemonState,
    run: RunState,
    verdict: Verdict,
    tokens: int,
) -> None:
    labels = RequestLabels('r1', 'firm', 'urgent', cost_tokens=30)
    with OutcomeLog(state, 'requests').recorded(labels, run):
        run.verdict = verdict
    key = 'answered_tokens_total{rank="urgent"}'
    assert _counts(state).get(key, 0) == tokens
