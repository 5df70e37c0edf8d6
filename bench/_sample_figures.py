"""What one run of a daemon has counted on a sample day."""

from __future__ import annotations

import random

from _sample_requests import Cell
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

_UNCERTAIN_SHARE = 0.0002
_ID_BYTES = 16
_WAIT_SHARE = 0.3
_SPREAD = 0.6
_TOKEN_S = 0.02
_ANSWER_S = 4
_TOKENS = 400


@define
class DaemonFigures:
    """Counts, durations and kept requests of one run of a daemon."""

    rng: random.Random
    midnight_unix_s: float
    counters: Counters = field(factory=Counters)
    histograms: Histograms = field(factory=Histograms)
    slots: list[TimeSlotCount] = field(factory=list)
    records: list[RequestRecord] = field(factory=list)
    tokens: list[TimeSlotAmount] = field(factory=list)

    def note(self, cell: Cell) -> None:
        """Count the requests of a cell."""
        uncertain = int(self.rng.random() < cell.asked * _UNCERTAIN_SHARE)
        completed = max(0, cell.asked - cell.refused - uncertain)
        self._count(cell, 'completed', completed)
        self._count(cell, 'not_run', cell.refused)
        self._count(cell, 'may_have_run', uncertain)
        if uncertain:
            self._keep(cell, 'may_have_run', 'upstream_cut')
        if cell.refused:
            self._keep(cell, 'not_run', 'deadline')
        answered = TimeSlotAmount(
            cell.slot, cell.rank.name, completed * _TOKENS
        )
        self.tokens.append(answered)
        for _ in range(completed):
            self._time(cell)

    def _count(self, cell: Cell, verdict: str, count: int) -> None:
        if not count:
            return
        labels = (
            ('workspace', cell.workspace.name),
            ('rank', cell.rank.name),
            ('verdict', verdict),
        )
        self.counters.add(CounterKey('requests', labels), count)
        key = TimeSlotKey(cell.slot, cell.rank.name, verdict)
        self.slots.append(TimeSlotCount(key, count))

    def _keep(self, cell: Cell, verdict: str, reason: str) -> None:
        record = RequestRecord(
            self.rng.randbytes(_ID_BYTES).hex(),
            cell.workspace.name,
            cell.rank.name,
            verdict,
            reason,
            self.midnight_unix_s + (cell.slot + 1) * TIMELINE_SLOT_S - 1,
        )
        self.records.append(record)

    def _time(self, cell: Cell) -> None:
        load = cell.refused / cell.asked
        spread = self.rng.lognormvariate(-2, _SPREAD)
        first_s = cell.rank.target_first_token_s * spread * (1 + load)
        self._record(cell, 'queue_wait', first_s * _WAIT_SHARE)
        self._record(cell, 'first_token', first_s)
        self._record(cell, 'between_tokens', _TOKEN_S * (1 + spread))
        whole_s = first_s + self.rng.expovariate(1 / _ANSWER_S)
        self._record(cell, 'total', whole_s)

    def _record(self, cell: Cell, name: str, seconds: float) -> None:
        series = Series(name, cell.workspace.name, cell.rank.name)
        self.histograms.record(series, seconds)
