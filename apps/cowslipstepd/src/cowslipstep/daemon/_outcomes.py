"""Outcomes and durations of requests, as log lines and metrics."""

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

    For a call to a plain service, ``rank`` is the name of the service.
    ``cost_tokens`` is the estimated number of tokens of a completion.
    """

    request_id: str
    workspace: str
    rank: str
    cost_tokens: int = 0


class OutcomeLog:
    """Logs and counts the outcomes of requests.

    Parameters
    ----------
    state
        State of the daemon.
    name
        Name of the counter of requests.
    """

    def __init__(self, state: DaemonState, name: str) -> None:
        self._counters = state.counters
        self._requests = state.requests
        self._name = name

    @contextlib.contextmanager
    def recorded(self, labels: RequestLabels, run: RunState) -> Iterator[None]:
        """Record the verdict of a request at the end of the block."""
        try:
            yield
        except RequestError as error:
            run.verdict = error.verdict
            raise
        except (GeneratorExit, CallerGone):
            counter_labels = _counter_labels(labels, run.verdict.code)
            self._add('hangups', ('of', self._name), *counter_labels)
            if _is_uncertain(run.verdict) and not run.response_begun:
                self._record_incomplete(labels, run.verdict)
            raise
        finally:
            self._record_end(labels, run)

    def count(self, name: str, labels: RequestLabels) -> None:
        """Increment the counter ``name`` for a request."""
        counter_labels = (
            ('workspace', labels.workspace),
            ('rank', labels.rank),
        )
        self._add(name, *counter_labels)

    def _record_end(self, labels: RequestLabels, run: RunState) -> None:
        verdict = run.verdict.code
        self._add(self._name, *_counter_labels(labels, verdict))
        logger.bind(
            request_id=labels.request_id,
            workspace=labels.workspace,
            rank=labels.rank,
            verdict=verdict,
        ).info('request ended')
        # An error before the response has begun is recorded by the application.
        if run.response_begun:
            self._record_incomplete(labels, run.verdict)
        if labels.cost_tokens and verdict == Completed().code:
            key = CounterKey('answered_tokens', (('rank', labels.rank),))
            self._counters.add(key, labels.cost_tokens)

    def _record_incomplete(
        self, labels: RequestLabels, verdict: Verdict
    ) -> None:
        """Add a request without a complete response to the request log."""
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

    def _add(self, name: str, *counter_labels: tuple[str, str]) -> None:
        self._counters.add(CounterKey(name, counter_labels))


def _is_uncertain(verdict: Verdict) -> bool:
    match verdict:
        case MayHaveRun():
            return True
        case _:
            return False


def _counter_labels(
    labels: RequestLabels,
    verdict: str,
) -> tuple[tuple[str, str], ...]:
    return (
        ('workspace', labels.workspace),
        ('rank', labels.rank),
        ('verdict', verdict),
    )


class Timings:
    """Records durations of responses by workspace and rank.

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
    parts: Iterator[ResponsePart],
    timings: Timings,
    labels: RequestLabels,
) -> Iterator[ResponsePart]:
    """Yield the parts of a response and record the times between them."""
    started_s = time.monotonic()
    previous_s = started_s
    duration_name = _FIRST_TOKEN
    for part in parts:
        if isinstance(part, bytes):
            now_s = time.monotonic()
            timings.record(duration_name, labels, now_s - previous_s)
            previous_s = now_s
            duration_name = _BETWEEN_TOKENS
        yield part
    timings.record(_TOTAL, labels, time.monotonic() - started_s)
