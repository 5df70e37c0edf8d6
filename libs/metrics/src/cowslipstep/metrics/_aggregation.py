"""Aggregation of the smallest workspaces under one name."""

from __future__ import annotations

import collections
from collections.abc import Iterable

from attrs import evolve

from cowslipstep.metrics._counters import CounterKey, Sample
from cowslipstep.metrics._histograms import EncodedSeries
from cowslipstep.metrics._merging import merge_samples, merge_series

OTHER_WORKSPACES = '(other)'
_WORKSPACE_LABEL = 'workspace'


def largest_workspaces(counters: Iterable[Sample]) -> frozenset[str]:
    """Return the half of the workspaces with the largest sums of counters."""
    counts: collections.Counter[str] = collections.Counter()
    for sample in counters:
        counts[sample.key.label(_WORKSPACE_LABEL)] += int(sample.amount)
    named = set(counts) - {'', OTHER_WORKSPACES}
    ordered = sorted(named, key=lambda name: (-counts[name], name))
    return frozenset(ordered[: len(ordered) // 2])


def aggregate_counters(
    counters: Iterable[Sample],
    separate: frozenset[str],
) -> tuple[Sample, ...]:
    """Add up the counters of all workspaces except the separate ones."""
    return merge_samples(
        Sample(_aggregated_key(sample.key, separate), sample.amount)
        for sample in counters
    )


def aggregate_series(
    encoded: Iterable[EncodedSeries],
    separate: frozenset[str],
) -> tuple[EncodedSeries, ...]:
    """Merge the histograms of all workspaces except the separate ones."""
    return merge_series(
        EncodedSeries(
            evolve(
                entry.series,
                workspace=_aggregated_workspace(
                    entry.series.workspace, separate
                ),
            ),
            entry.encoded,
        )
        for entry in encoded
    )


def _aggregated_key(key: CounterKey, separate: frozenset[str]) -> CounterKey:
    labels = tuple(
        (
            name,
            _aggregated_workspace(text, separate)
            if name == _WORKSPACE_LABEL
            else text,
        )
        for name, text in key.labels
    )
    return CounterKey(key.name, labels)


def _aggregated_workspace(workspace: str, separate: frozenset[str]) -> str:
    return workspace if workspace in separate else OTHER_WORKSPACES
