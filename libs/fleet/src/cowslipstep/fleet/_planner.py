"""Planner of a fleet: decides which groups are formed, opened and ended."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator, Mapping

from attrs import evolve

from cowslipstep.fleet._assess_group import assess_group
from cowslipstep.fleet._decisions import FleetDecision, FleetView, FormGroup
from cowslipstep.fleet._demand_peaks import DemandPeaks
from cowslipstep.fleet._epochs import Epochs
from cowslipstep.fleet._group_choice import ChosenGroup, GroupChoice
from cowslipstep.fleet._pending_groups import PendingGroups
from cowslipstep.fleet._reallocations import (
    StartReallocations,
    ending_decisions,
    groups_to_form,
    start_reallocations,
)
from cowslipstep.fleet._registration_tracker import RegistrationTracker
from cowslipstep.fleet._repeat_limiter import RepeatLimiter
from cowslipstep.fleet._reported_groups import (
    ReportedGroup,
    reported_groups,
    superseded_groups,
)
from cowslipstep.fleet._runners import GroupId, MemberState
from cowslipstep.fleet._running_reallocations import (
    RunningReallocations,
    planned_changes,
)
from cowslipstep.fleet._staging import stage_models
from cowslipstep.fleet._weight_load_limiter import WeightLoadLimiter

# A pending group that should be ready within this time counts as a serving one
# when groups are reallocated.
_NEARLY_READY_S = 3


class FleetPlanner:
    """Decides on the groups of one service; sends no commands itself.

    Parameters
    ----------
    service
        The service.
    epochs
        Numbers of groups; planners of other services take theirs from it, too.
    start
        Starts reallocations, see ``start_reallocations``.
    """

    def __init__(
        self,
        service: str,
        epochs: Epochs,
        start: StartReallocations = start_reallocations,
    ) -> None:
        self._service = service
        self._epochs = epochs
        self._pending_groups = PendingGroups()
        self._leaderless_since_s: dict[GroupId, float] = {}
        self._repeat_limiter = RepeatLimiter()
        self._load_limiter = WeightLoadLimiter()
        self._reallocations = RunningReallocations()
        self._start_reallocations = start
        self._demand_peaks = DemandPeaks()
        self._registration_tracker = RegistrationTracker()
        self._last_epochs: dict[str, int] = {}

    def decide(self, view: FleetView) -> list[FleetDecision]:
        """Return the decisions that are due, given the state of the fleet."""
        reported = reported_groups(view.answering)
        view = evolve(
            view,
            peak_demand=self._demand_peaks.update(view.now_s, view.demand),
            registrations_settled=self._registration_tracker.have_settled(view),
            superseded=superseded_groups(reported, self._last_epochs),
        )
        self._update(view, reported)
        claimed = {*self._pending_groups.claimed, *self._reallocations.claimed}
        decisions: list[FleetDecision] = []
        decisions.extend(self._pending_groups.groups_to_open(reported))
        decisions.extend(self._assess_groups(view, reported, claimed))
        decisions.extend(self._reallocate(view, reported, claimed))
        decisions.extend(self._form_groups(view, reported, claimed))
        decisions.extend(stage_models(view, self._load_limiter))
        return [
            decision
            for decision in decisions
            if self._repeat_limiter.admit(decision, view.now_s)
        ]

    def _update(
        self,
        view: FleetView,
        reported: Mapping[GroupId, ReportedGroup],
    ) -> None:
        """Update the tracked state to what the runners report."""
        self._load_limiter.drop_ended(view)
        self._pending_groups.drop_ended(view, reported)
        self._reallocations.drop_ended(view, reported)
        for group_id in reported:
            self._epochs.pass_over(group_id.epoch)
        leaderless = (
            key
            for key, reported_group in reported.items()
            if reported_group.leader is None
        )
        self._leaderless_since_s = {
            key: self._leaderless_since_s.get(key, view.now_s)
            for key in leaderless
        }

    def _assess_groups(
        self,
        view: FleetView,
        reported: Mapping[GroupId, ReportedGroup],
        claimed: set[str],
    ) -> Iterator[FleetDecision]:
        """Yield decisions on existing groups; claim their members if kept."""
        for key, reported_group in reported.items():
            if key in self._reallocations:
                claimed.update(reported_group.member_names)
            elif key not in self._pending_groups:
                since_s = self._leaderless_since_s.get(key, view.now_s)
                assessment = assess_group(
                    view, reported_group, view.now_s - since_s
                )
                if not assessment.members_free:
                    claimed.update(reported_group.member_names)
                yield from assessment.decisions

    def _reallocate(
        self,
        view: FleetView,
        reported: Mapping[GroupId, ReportedGroup],
        claimed: set[str],
    ) -> Iterator[FleetDecision]:
        """Yield decisions that end groups to form one of a busier model."""
        counts = Counter(
            self._pending_groups.models(view.now_s + _NEARLY_READY_S)
        )
        counts.update(_serving_models(view, reported))
        running = self._reallocations
        self._start_reallocations(running, view, reported, claimed, counts)
        yield from ending_decisions(running, reported)
        claimed.update(running.claimed)
        for chosen in groups_to_form(running, view, reported):
            yield self._start_group(view, chosen)

    def _form_groups(
        self,
        view: FleetView,
        reported: Mapping[GroupId, ReportedGroup],
        claimed: set[str],
    ) -> Iterator[FormGroup]:
        counts = Counter(self._pending_groups.models())
        counts.update(_serving_models(view, reported))
        counts.update(planned_changes(self._reallocations, reported))
        choice = GroupChoice(view, self._load_limiter, claimed, counts)
        chosen = choice.next_group()
        while chosen is not None:
            yield self._start_group(view, chosen)
            chosen = choice.next_group()

    def _start_group(self, view: FleetView, chosen: ChosenGroup) -> FormGroup:
        epoch = self._epochs.next_epoch()
        key = GroupId(self._service, f'g{epoch}', epoch)
        decision = FormGroup(key, chosen.model.name, chosen.members)
        self._pending_groups.add(decision, view.now_s, chosen.time_to_ready_s)
        for member in chosen.members:
            self._last_epochs[member.name] = epoch
        for runner in chosen.loading:
            self._load_limiter.record_start(
                view, runner.name, chosen.model.name
            )
        return decision


def _serving_models(
    view: FleetView, reported: Mapping[GroupId, ReportedGroup]
) -> list[str]:
    """Return the model of each group that gets requests.

    A group with an evacuated member gets none, though it stays open: others
    are formed in its place.
    """
    return [
        reported_group.model
        for reported_group in reported.values()
        if reported_group.leader_state is MemberState.open
        and view.evacuated.isdisjoint(reported_group.member_names)
    ]
