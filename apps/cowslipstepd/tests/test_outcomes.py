"""Requests that break off are counted and kept; hangups are told apart."""

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


def _end(state: DaemonState, run: RunState, error: BaseException) -> None:
    with pytest.raises(type(error)):
        with OutcomeLog(state, 'orders').recorded(_LABELS, run):
            raise error


def _counts(state: DaemonState) -> dict[str, float]:
    return {
        sample.key.render().removeprefix('cowslipstep_'): sample.amount
        for sample in state.counters.samples
    }


def _ended(name: str, verdict: str, of: str = '') -> str:
    prefix = f'of="{of}",' if of else ''
    return (
        f'{name}_total{{{prefix}workspace="firm",rank="urgent",'
        f'verdict="{verdict}"}}'
    )


@pytest.mark.parametrize('gone', _HANGUPS)
@pytest.mark.parametrize('sent', [False, True])
def test_a_hangup_is_counted_with_its_verdict(
    state: DaemonState,
    run: RunState,
    gone: BaseException,
    sent: bool,
) -> None:
    if sent:
        run.record_sending()
    _end(state, run, gone)
    verdict = 'may_have_run' if sent else 'not_run'
    assert _counts(state) == {
        _ended('hangups', verdict, of='orders'): 1,
        _ended('orders', verdict): 1,
    }


def test_an_error_is_no_hangup(state: DaemonState, run: RunState) -> None:
    _end(state, run, _CUT)
    assert _counts(state) == {_ended('orders', 'may_have_run'): 1}


def test_an_answer_is_neither_hangup_nor_kept(
    state: DaemonState,
    run: RunState,
) -> None:
    with OutcomeLog(state, 'orders').recorded(_LABELS, run):
        run.response_begun = True
        run.verdict = Completed()
    assert _counts(state) == {_ended('orders', 'completed'): 1}
    assert not state.requests.records


def test_an_answer_that_breaks_off_is_kept(
    state: DaemonState,
    run: RunState,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(time, 'time', lambda: 7)
    run.response_begun = True
    _end(state, run, _CUT)
    kept = state.requests.records[0]
    assert (kept.request_id, kept.workspace, kept.rank) == (
        'r1',
        'firm',
        'urgent',
    )
    assert (kept.verdict, kept.reason) == ('may_have_run', 'upstream_cut')
    assert kept.at_unix_s == 7


def test_an_error_before_the_answer_is_not_kept(
    state: DaemonState,
    run: RunState,
) -> None:
    _end(state, run, _CUT)
    assert not state.requests.records


@pytest.mark.parametrize('begun', [False, True])
@pytest.mark.parametrize('gone', _HANGUPS)
def test_an_uncertain_hangup_is_kept(
    state: DaemonState,
    run: RunState,
    gone: BaseException,
    begun: bool,
) -> None:
    run.record_sending()
    run.response_begun = begun
    _end(state, run, gone)
    kept = [(one.verdict, one.reason) for one in state.requests.records]
    assert kept == [('may_have_run', 'caller_gone')]


def test_a_hangup_in_the_queue_is_not_kept(
    state: DaemonState,
    run: RunState,
) -> None:
    _end(state, run, CallerGone())
    assert not state.requests.records


@pytest.mark.parametrize(
    ('verdict', 'tokens'),
    [(Completed(), 30), (MayHaveRun(Reason.upstream_cut), 0)],
)
def test_tokens_of_answers_are_counted(
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
