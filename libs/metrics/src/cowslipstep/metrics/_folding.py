"""Counting the smallest workspaces together."""

from __future__ import annotations

import collections
from collections.abc import Iterable

from attrs import evolve

from cowslipstep.metrics._counters import CounterKey, Sample
from cowslipstep.metrics._histograms import EncodedSeries
from cowslipstep.metrics._merging import merge_samples, merge_series

OTHER_WORKSPACES = '(other)'
_WORKSPACE = 'workspace'


def largest(counters: Iterable[Sample]) -> frozenset[str]:
    """Return the half of the workspaces that has the largest counts."""
    counts: collections.Counter[str] = collections.Counter()
    for sample in counters:
        counts[sample.key.label(_WORKSPACE)] += int(sample.amount)
    named = set(counts) - {'', OTHER_WORKSPACES}
    ordered = sorted(named, key=lambda name: (-counts[name], name))
    return frozenset(ordered[: len(ordered) // 2])


def fold_counters(
    counters: Iterable[Sample],
    kept: frozenset[str],
) -> tuple[Sample, ...]:
    """Count all workspaces but the kept ones under one name."""
    return merge_samples(
        Sample(_fold_key(sample.key, kept), sample.amount)
        for sample in counters
    )


def fold_series(
    encoded: Iterable[EncodedSeries],
    kept: frozenset[str],
) -> tuple[EncodedSeries, ...]:
    """Merge the histograms of all workspaces but the kept ones."""
    return merge_series(
        EncodedSeries(
            evolve(entry.series, workspace=_fold(entry.series.workspace, kept)),
            entry.encoded,
        )
        for entry in encoded
    )


def _fold_key(key: CounterKey, kept: frozenset[str]) -> CounterKey:
    labels = tuple(
        (name, _fold(text, kept) if name == _WORKSPACE else text)
        for name, text in key.labels
    )
    return CounterKey(key.name, labels)


def _fold(workspace: str, kept: frozenset[str]) -> str:
    return workspace if workspace in kept else OTHER_WORKSPACES
