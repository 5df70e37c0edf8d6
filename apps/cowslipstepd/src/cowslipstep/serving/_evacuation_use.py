"""What is still in use in evacuated failure domains."""

from __future__ import annotations

import itertools
from collections.abc import Iterator

from attrs import frozen

from cowslipstep.fleet import DiscoveredRunner, GroupId
from cowslipstep.metrics import CounterKey, Gauges
from cowslipstep.serving._state import ServingState


@frozen
class DomainUse:
    """Upstreams of a failure domain that have requests in progress.

    Parameters
    ----------
    runners
        Number of runners without a group.
    groups
        Number of groups with a member in the domain.
    """

    runners: int = 0
    groups: int = 0


def evacuated_use(state: ServingState) -> dict[str, DomainUse]:
    """Return the use of each evacuated domain, over all daemons."""
    busy = {
        (domain, runner.group_id or runner.name)
        for runner in _busy_runners(state)
        for domain in _failure_domains(state, runner)
    }
    return {
        evacuated: _domain_use(
            [unit for domain, unit in busy if domain == evacuated]
        )
        for evacuated in sorted(state.evacuations.current.domains)
    }


def set_evacuation_gauges(gauges: Gauges, state: ServingState) -> None:
    """Set the gauges of evacuations, if the deployment has them."""
    if not state.evacuations.is_enabled:
        return
    current = state.evacuations.current
    gauges.set(CounterKey('evacuations_revision'), current.revision)
    gauges.set(CounterKey('evacuated_domains'), len(current.domains))
    for domain, use in evacuated_use(state).items():
        _set_use(gauges, domain, 'group', use.groups)
        _set_use(gauges, domain, 'runner', use.runners)


def _set_use(gauges: Gauges, domain: str, unit: str, count: int) -> None:
    labels = (('failure_domain', domain), ('unit', unit))
    gauges.set(CounterKey('evacuated_in_use', labels), count)


def _domain_use(units: list[GroupId | str]) -> DomainUse:
    groups = sum(isinstance(unit, GroupId) for unit in units)
    return DomainUse(len(units) - groups, groups)


def _busy_runners(state: ServingState) -> Iterator[DiscoveredRunner]:
    loads = itertools.chain(
        state.loads.own.loads(),
        *(report.loads for report in state.loads.reports),
    )
    runners = state.runner_table.runners
    names = {load.upstream for load in loads if load.requests}
    for name in names & runners.keys():
        yield runners[name]


def _failure_domains(
    state: ServingState, runner: DiscoveredRunner
) -> frozenset[str]:
    """Return the failure domains of a runner and the members of its group."""
    group = None
    if runner.group_id is not None:
        group = state.runner_table.groups.groups.get(runner.group_id)
    members = group.members.values() if group else ()
    return frozenset(member.failure_domain for member in (runner, *members))
