"""Counters of a sample day that do not depend on random requests."""

from __future__ import annotations

from _sample_plan import DayPlan
from attrs import asdict

from cowslipstep.metrics import CounterKey, Counters
from cowslipstep.model import Configuration

_MS_PER_S = 1000
_DAY_S = 86400
_DAY_MS = _DAY_S * _MS_PER_S
_STRANDED_SHARE = 0.012
_SERVICE_CALLS_PER_ORDER = 3
_UNCERTAIN_LABEL = ('verdict', 'may_have_run')


def add_day_totals(
    configuration: Configuration,
    plan: DayPlan,
    counters: Counters,
) -> None:
    """Count orders, service calls, hang-ups of callers and group downtime."""
    _count_order_verdicts(plan, counters)
    _count_claims(plan, counters)
    caller = ('workspace', configuration.workspaces[0].name)
    rank = ('rank', configuration.ranks[0].name)
    labels_of_hangups = (caller, rank, _UNCERTAIN_LABEL)
    counters.add(CounterKey('requests', labels_of_hangups), plan.hangups)
    labels_of_request_hangups = (('of', 'requests'), *labels_of_hangups)
    counters.add(CounterKey('hangups', labels_of_request_hangups), plan.hangups)
    _count_groups(configuration, plan, counters)


def _count_order_verdicts(plan: DayPlan, counters: Counters) -> None:
    for verdict, count in asdict(plan.order_counts).items():
        labels = (('verdict', verdict),)
        calls = count * _SERVICE_CALLS_PER_ORDER
        counters.add(CounterKey('orders', labels), count)
        counters.add(CounterKey('service_calls', labels), calls)


def _count_claims(plan: DayPlan, counters: Counters) -> None:
    entered = plan.order_counts.completed - plan.replayed_orders
    for entry, count in (
        ('entered', entered),
        ('replayed', plan.replayed_orders),
        ('in_use', plan.order_counts.may_have_run),
    ):
        labels = (('entry', entry),)
        counters.add(CounterKey('order_entries', labels), count)


def _count_groups(
    configuration: Configuration,
    plan: DayPlan,
    counters: Counters,
) -> None:
    labels = (('model', configuration.models[0].name),)
    expected_ms = configuration.models[0].groups * _DAY_MS
    counters.add(CounterKey('group_watched_ms', labels), expected_ms)
    down_s = sum(group.down_s for group in plan.lost_groups)
    counters.add(CounterKey('group_down_ms', labels), down_s * _MS_PER_S)
    accelerators = sum(runner.accelerators for runner in configuration.runners)
    stranded_ms = round(accelerators * _DAY_MS * _STRANDED_SHARE)
    counters.add(CounterKey('stranded_accelerator_ms'), stranded_ms)
