"""Group downtime and stranded accelerators."""

from __future__ import annotations

import collections

from cowslipstep.cli._evening._drawings import Curve, Plot
from cowslipstep.cli._evening._facts import Facts
from cowslipstep.cli._evening._numbers import (
    duration_text,
    ratio,
    share_text,
)
from cowslipstep.cli._evening._parts import Measure, Section
from cowslipstep.cli._evening._targets import at_least, at_most
from cowslipstep.metrics import SLOT_S
from cowslipstep.model import Model

_MS_PER_S = 1000
_SLOT_MS = SLOT_S * _MS_PER_S
_SLOTS_PER_DAY = 288
_UNTOLD_SHARE = 0.001


def group_section(facts: Facts) -> Section:
    """Return the measures of groups."""
    measures = [_downtime(facts, model) for model in facts.configuration.models]
    return Section(
        'Groups', (*measures, _stranded(facts)), plots=(_plot(facts),)
    )


def _plot(facts: Facts) -> Plot:
    return Plot(
        'Groups that were wanted and did not serve',
        'groups, mean of five minutes',
        tuple(_curve(facts, model) for model in facts.configuration.models),
    )


def _curve(facts: Facts, model: Model) -> Curve:
    down_ms: collections.Counter[int] = collections.Counter()
    for entry in facts.day.downtime:
        if entry.model == model.name:
            down_ms[entry.slot] += entry.down_ms
    means = [down_ms[slot] / _SLOT_MS for slot in range(_SLOTS_PER_DAY)]
    return Curve(model.name, tuple(means))


def _downtime(facts: Facts, model: Model) -> Measure:
    target = facts.configuration.targets.group_serving_share
    watched_s = _seconds(facts, 'group_watched_ms', model)
    down = ratio(_seconds(facts, 'group_down_ms', model), watched_s)
    serving = None if down is None else 1 - down
    return Measure(
        f'groups of {model.name} serving',
        share_text(serving, f'of the time, {_times(facts, model)}'),
        f'at least {share_text(target)}',
        at_least(serving, target),
    )


def _times(facts: Facts, model: Model) -> str:
    down = duration_text(_seconds(facts, 'group_down_ms', model))
    watched_s = _seconds(facts, 'group_watched_ms', model)
    unwatched_s = model.groups * facts.elapsed_s - watched_s
    if unwatched_s <= watched_s * _UNTOLD_SHARE:
        return f'{down} down'
    return f'{down} down, {duration_text(unwatched_s)} not watched'


def _seconds(facts: Facts, name: str, model: Model) -> float:
    return facts.day.total(name, model=model.name) / _MS_PER_S


def _stranded(facts: Facts) -> Measure:
    limit = facts.configuration.targets.stranded_share
    accelerators = sum(
        runner.accelerators for runner in facts.configuration.runners
    )
    known = list(facts.day.select('stranded_accelerator_ms'))
    stranded_s = sum(sample.amount for sample in known) / _MS_PER_S
    share = ratio(stranded_s, accelerators * facts.elapsed_s)
    if not known:
        share = None
    return Measure(
        'accelerators stranded',
        share_text(share, 'of the time'),
        f'at most {share_text(limit)}',
        at_most(share, limit),
    )
