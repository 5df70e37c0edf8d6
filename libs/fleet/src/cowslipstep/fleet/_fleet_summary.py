"""Summary of what the runners of a service do at one moment."""

from __future__ import annotations

import enum
from collections import Counter
from collections.abc import Mapping

from attrs import frozen

from cowslipstep.fleet._decisions import FleetView
from cowslipstep.fleet._reported_groups import (
    ReportedGroup,
    reported_groups,
)
from cowslipstep.fleet._runners import DiscoveredRunner, GroupId, MemberState


class RunnerUse(enum.StrEnum):
    """What a runner does.

    Attributes
    ----------
    serving
        It is a member of a group that serves requests.
    joining
        It joins a group, or waits in it for other members.
    stalled
        It is a member of a group whose leader is missing or broken.
    free
        It is in no group, and its host holds weights.
    unloaded
        It is in no group, and its host holds no weights.
    lost
        It is registered but does not respond.
    """

    serving = 'serving'
    joining = 'joining'
    stalled = 'stalled'
    free = 'free'
    unloaded = 'unloaded'
    lost = 'lost'


@frozen
class FleetSummary:
    """Number of serving groups by model, and of runners by use."""

    serving_groups: Mapping[str, int]
    runners: Mapping[RunnerUse, int]


def summarize_fleet(view: FleetView) -> FleetSummary:
    """Return a summary of the runners of a service."""
    reported = reported_groups(view.answering)
    uses = Counter(_use(runner, reported) for runner in view.answering)
    uses[RunnerUse.lost] = len(view.runners) - len(view.answering)
    groups = Counter(
        group.model
        for group in reported.values()
        if group.leader_state is MemberState.open
    )
    return FleetSummary(groups, uses)


def _use(
    runner: DiscoveredRunner, reported: Mapping[GroupId, ReportedGroup]
) -> RunnerUse:
    group_id = runner.group_id
    if group_id is None:
        holds_weights = runner.loaded_models or runner.staged_models
        return RunnerUse.free if holds_weights else RunnerUse.unloaded
    match reported[group_id].leader_state:
        case MemberState.open | MemberState.closing:
            return RunnerUse.serving
        case MemberState.joining | MemberState.ready:
            return RunnerUse.joining
        case _:
            return RunnerUse.stalled
