"""Metrics of one run of a daemon on a sample day."""

from __future__ import annotations

import random

from _sample_requests import RequestCounts
from attrs import define, field

from cowslipstep.metrics import (
    TIMELINE_SLOT_S,
    CounterKey,
    Counters,
    Histograms,
    RequestRecord,
    Series,
    TimeSlotAmount,
    TimeSlotCount,
    TimeSlotKey,
)

_UNCERTAIN_PROBABILITY = 0.0002
_REQUEST_ID_BYTES = 16
_QUEUE_WAIT_SHARE = 0.3
_DURATION_SIGMA = 0.6
_MIN_TOKEN_S = 0.02
_MEAN_OUTPUT_S = 4
_TOKENS_PER_RESPONSE = 400


@define
class DaemonFigures:
    """Counts, durations and request records of one run of a daemon."""

    rng: random.Random
    midnight_unix_s: float
    counters: Counters = field(factory=Counters)
    histograms: Histograms = field(factory=Histograms)
    timeline: list[TimeSlotCount] = field(factory=list)
    records: list[RequestRecord] = field(factory=list)
    answered_tokens: list[TimeSlotAmount] = field(factory=list)

    def record_requests(self, counts: RequestCounts) -> None:
        """Record the requests of one workspace and rank in one time slot."""
        uncertain = int(
            self.rng.random() < counts.requests * _UNCERTAIN_PROBABILITY
        )
        completed = max(0, counts.requests - counts.refused - uncertain)
        self._count_verdict(counts, 'completed', completed)
        self._count_verdict(counts, 'not_run', counts.refused)
        self._count_verdict(counts, 'may_have_run', uncertain)
        if uncertain:
            self._record_request(counts, 'may_have_run', 'upstream_cut')
        if counts.refused:
            self._record_request(counts, 'not_run', 'deadline')
        output_tokens = TimeSlotAmount(
            counts.slot, counts.rank.name, completed * _TOKENS_PER_RESPONSE
        )
        self.answered_tokens.append(output_tokens)
        for _ in range(completed):
            self._record_durations(counts)

    def _count_verdict(
        self, counts: RequestCounts, verdict: str, count: int
    ) -> None:
        if not count:
            return
        labels = (
            ('workspace', counts.workspace.name),
            ('rank', counts.rank.name),
            ('verdict', verdict),
        )
        self.counters.add(CounterKey('requests', labels), count)
        key = TimeSlotKey(counts.slot, counts.rank.name, verdict)
        self.timeline.append(TimeSlotCount(key, count))

    def _record_request(
        self, counts: RequestCounts, verdict: str, reason: str
    ) -> None:
        record = RequestRecord(
            self.rng.randbytes(_REQUEST_ID_BYTES).hex(),
            counts.workspace.name,
            counts.rank.name,
            verdict,
            reason,
            self.midnight_unix_s + (counts.slot + 1) * TIMELINE_SLOT_S - 1,
        )
        self.records.append(record)

    def _record_durations(self, counts: RequestCounts) -> None:
        refused_share = counts.refused / counts.requests
        spread = self.rng.lognormvariate(-2, _DURATION_SIGMA)
        first_s = (
            counts.rank.target_first_token_s * spread * (1 + refused_share)
        )
        self._record_duration(counts, 'queue_wait', first_s * _QUEUE_WAIT_SHARE)
        self._record_duration(counts, 'first_token', first_s)
        self._record_duration(
            counts, 'between_tokens', _MIN_TOKEN_S * (1 + spread)
        )
        total_s = first_s + self.rng.expovariate(1 / _MEAN_OUTPUT_S)
        self._record_duration(counts, 'total', total_s)

    def _record_duration(
        self, counts: RequestCounts, name: str, seconds: float
    ) -> None:
        series = Series(name, counts.workspace.name, counts.rank.name)
        self.histograms.record(series, seconds)
