"""Section on groups: their downtime, and stranded accelerators."""

from __future__ import annotations

import collections

from cowslipstep.cli._evening_report._charts import Curve, LinePlot
from cowslipstep.cli._evening_report._formatting import (
    duration_text,
    ratio,
    share_text,
)
from cowslipstep.cli._evening_report._report_input import ReportInput
from cowslipstep.cli._evening_report._sections import Measure, Section
from cowslipstep.cli._evening_report._targets import at_least, at_most
from cowslipstep.metrics import TIMELINE_SLOT_S
from cowslipstep.model import Model

_MS_PER_S = 1000
_SLOT_MS = TIMELINE_SLOT_S * _MS_PER_S
_TIME_SLOTS_PER_DAY = 288
_MAX_HIDDEN_UNWATCHED_SHARE = 0.001


def group_section(report_input: ReportInput) -> Section:
    """Return the measures of groups and a plot of those that were down."""
    measures = [
        _serving_measure(report_input, model)
        for model in report_input.configuration.models
    ]
    return Section(
        'Groups',
        (*measures, _stranded_measure(report_input)),
        plots=(_plot(report_input),),
    )


def _plot(report_input: ReportInput) -> LinePlot:
    return LinePlot(
        'Configured groups that did not serve',
        'groups, mean over five minutes',
        tuple(
            _curve(report_input, model)
            for model in report_input.configuration.models
        ),
    )


def _curve(report_input: ReportInput, model: Model) -> Curve:
    down_ms: collections.Counter[int] = collections.Counter()
    for entry in report_input.day.downtime:
        if entry.label == model.name:
            down_ms[entry.slot] += entry.amount
    means = [down_ms[slot] / _SLOT_MS for slot in range(_TIME_SLOTS_PER_DAY)]
    return Curve(model.name, tuple(means))


def _serving_measure(report_input: ReportInput, model: Model) -> Measure:
    target = report_input.configuration.targets.group_serving_share
    watched_s = _total_s(report_input, 'group_watched_ms', model)
    down = ratio(_total_s(report_input, 'group_down_ms', model), watched_s)
    serving = None if down is None else 1 - down
    return Measure(
        f'groups of {model.name} serving',
        share_text(
            serving, f'of the time, {_downtime_text(report_input, model)}'
        ),
        f'at least {share_text(target)}',
        at_least(serving, target),
    )


def _downtime_text(report_input: ReportInput, model: Model) -> str:
    down = duration_text(_total_s(report_input, 'group_down_ms', model))
    watched_s = _total_s(report_input, 'group_watched_ms', model)
    unwatched_s = model.groups * report_input.elapsed_s - watched_s
    if unwatched_s <= watched_s * _MAX_HIDDEN_UNWATCHED_SHARE:
        return f'{down} down'
    return f'{down} down, {duration_text(unwatched_s)} not watched'


def _total_s(report_input: ReportInput, name: str, model: Model) -> float:
    return report_input.day.total(name, model=model.name) / _MS_PER_S


def _stranded_measure(report_input: ReportInput) -> Measure:
    limit = report_input.configuration.targets.stranded_share
    accelerators = sum(
        runner.accelerators for runner in report_input.configuration.runners
    )
    known = list(report_input.day.select('stranded_accelerator_ms'))
    stranded_s = sum(sample.amount for sample in known) / _MS_PER_S
    share = ratio(stranded_s, accelerators * report_input.elapsed_s)
    if not known:
        share = None
    return Measure(
        'accelerators stranded',
        share_text(share, 'of the time'),
        f'at most {share_text(limit)}',
        at_most(share, limit),
    )
