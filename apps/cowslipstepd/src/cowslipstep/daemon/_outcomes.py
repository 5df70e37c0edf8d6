"""How requests ended and how long they took: log lines and metrics."""

from __future__ import annotations

import contextlib
import time
from collections.abc import Iterator

from attrs import frozen
from loguru import logger

from cowslipstep.daemon._hangup import CallerGone
from cowslipstep.daemon._relay import ResponsePart
from cowslipstep.daemon._run_state import RunState
from cowslipstep.daemon._state import DaemonState
from cowslipstep.metrics import CounterKey, RequestRecord, Series
from cowslipstep.model import (
    Completed,
    MayHaveRun,
    NotRun,
    RequestError,
    Verdict,
)

_TOTAL = 'total'
_FIRST_TOKEN = 'first_token'
_BETWEEN_TOKENS = 'between_tokens'


@frozen
class RequestLabels:
    """Labels of a request in logs and metrics.

    ``rank`` is the name of the service for calls to plain services, and
    ``cost_tokens`` the estimated tokens of a completion.
    """

    request_id: str
    workspace: str
    rank: str
    cost_tokens: int = 0


class OutcomeLog:
    """Notes how requests ended.

    Parameters
    ----------
    state
        State of the daemon.
    name
        Name of the counter.
    """

    def __init__(self, state: DaemonState, name: str) -> None:
        self._counters = state.counters
        self._requests = state.requests
        self._name = name

    @contextlib.contextmanager
    def recorded(self, labels: RequestLabels, run: RunState) -> Iterator[None]:
        """Note the verdict of a request at the end of the block."""
        try:
            yield
        except RequestError as error:
            run.verdict = error.verdict
            raise
        except (GeneratorExit, CallerGone):
            pairs = _pairs(labels, run.verdict.code)
            self._add('hangups', ('of', self._name), *pairs)
            if _is_uncertain(run.verdict) and not run.response_begun:
                self._keep(labels, run.verdict)
            raise
        finally:
            self._note(labels, run)

    def count(self, name: str, labels: RequestLabels) -> None:
        """Add one to another counter of requests."""
        pairs = (('workspace', labels.workspace), ('rank', labels.rank))
        self._add(name, *pairs)

    def _note(self, labels: RequestLabels, run: RunState) -> None:
        verdict = run.verdict.code
        self._add(self._name, *_pairs(labels, verdict))
        logger.bind(
            request_id=labels.request_id,
            workspace=labels.workspace,
            rank=labels.rank,
            verdict=verdict,
        ).info('request ended')
        if run.response_begun:
            self._keep(labels, run.verdict)
        if labels.cost_tokens and verdict == Completed().code:
            key = CounterKey('answered_tokens', (('rank', labels.rank),))
            self._counters.add(key, labels.cost_tokens)

    def _keep(self, labels: RequestLabels, verdict: Verdict) -> None:
        """Keep a request without a whole answer."""
        match verdict:
            case NotRun(reason) | MayHaveRun(reason):
                record = RequestRecord(
                    labels.request_id,
                    labels.workspace,
                    labels.rank,
                    verdict.code,
                    reason.value,
                    time.time(),
                )
                self._requests.add(record)

    def _add(self, name: str, *pairs: tuple[str, str]) -> None:
        self._counters.add(CounterKey(name, pairs))


def _is_uncertain(verdict: Verdict) -> bool:
    match verdict:
        case MayHaveRun():
            return True
        case _:
            return False


def _pairs(
    labels: RequestLabels,
    verdict: str,
) -> tuple[tuple[str, str], ...]:
    return (
        ('workspace', labels.workspace),
        ('rank', labels.rank),
        ('verdict', verdict),
    )


class Timings:
    """Records durations of answers by workspace and rank.

    Parameters
    ----------
    state
        State of the daemon.
    """

    def __init__(self, state: DaemonState) -> None:
        self._histograms = state.histograms

    def record(
        self,
        name: str,
        labels: RequestLabels,
        seconds: float,
    ) -> None:
        """Add one duration."""
        series = Series(name, labels.workspace, labels.rank)
        self._histograms.record(series, seconds)


def timed_parts(
    pieces: Iterator[ResponsePart],
    timings: Timings,
    labels: RequestLabels,
) -> Iterator[ResponsePart]:
    """Yield pieces and record when they came."""
    started_s = time.monotonic()
    latest_s = started_s
    between = _FIRST_TOKEN
    for piece in pieces:
        if isinstance(piece, bytes):
            now_s = time.monotonic()
            timings.record(between, labels, now_s - latest_s)
            latest_s = now_s
            between = _BETWEEN_TOKENS
        yield piece
    timings.record(_TOTAL, labels, time.monotonic() - started_s)
