"""Decisions of the planner of a fleet: which groups are formed and ended."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator, Mapping

from attrs import evolve

from cowslipstep.fleet._decisions import FleetDecision, FleetView, FormGroup
from cowslipstep.fleet._group_choice import ChosenGroup, GroupChoice
from cowslipstep.fleet._judgement import judge
from cowslipstep.fleet._load_pace import LoadPace
from cowslipstep.fleet._pending import PendingGroups
from cowslipstep.fleet._reallocations import Reallocations
from cowslipstep.fleet._registrations import Registrations
from cowslipstep.fleet._repeats import Repeats
from cowslipstep.fleet._reported_groups import (
    GroupKey,
    ReportedGroup,
    reported_groups,
)
from cowslipstep.fleet._runners import MemberState
from cowslipstep.fleet._staging import stage_models

# Leaves room for the numbers of all groups of a term.
_EPOCHS_PER_TERM = 10000
# Groups that are ready within this time count as if they served, seconds.
_SOON_S = 3


class FleetPlanner:
    """Decides on the groups of one service; sends no commands itself.

    Parameters
    ----------
    term
        Number of the term of the lease under which decisions are made.
    """

    def __init__(self, term: int) -> None:
        self._epoch = _EPOCHS_PER_TERM * term
        self._pending = PendingGroups()
        self._leaderless_s: dict[GroupKey, float] = {}
        self._repeats = Repeats()
        self._pace = LoadPace()
        self._reallocations = Reallocations()
        self._registrations = Registrations()

    def decide(self, view: FleetView) -> list[FleetDecision]:
        """Return what shall be done now."""
        view = evolve(view, settled=self._registrations.are_settled(view))
        found = reported_groups(view.present)
        self._note(view, found)
        claimed = {*self._pending.claimed, *self._reallocations.claimed}
        decisions: list[FleetDecision] = []
        decisions.extend(self._pending.openings(found))
        decisions.extend(self._keep(view, found, claimed))
        decisions.extend(self._reallocate(view, found, claimed))
        decisions.extend(self._form(view, found, claimed))
        decisions.extend(stage_models(view, self._pace))
        return [
            decision
            for decision in decisions
            if self._repeats.is_due(decision, view.now_s)
        ]

    def _note(
        self,
        view: FleetView,
        found: Mapping[GroupKey, ReportedGroup],
    ) -> None:
        """Follow what runners report."""
        self._pace.settle(view)
        self._pending.drop_ended(view, found)
        self._reallocations.settle(view, found)
        for _, epoch in found:
            self._epoch = max(self._epoch, epoch)
        leaderless = (
            key
            for key, reported_group in found.items()
            if reported_group.leader is None
        )
        self._leaderless_s = {
            key: self._leaderless_s.get(key, view.now_s) for key in leaderless
        }

    def _keep(
        self,
        view: FleetView,
        found: Mapping[GroupKey, ReportedGroup],
        claimed: set[str],
    ) -> Iterator[FleetDecision]:
        """Yield what keeps or ends groups; claim members that are not free."""
        for key, reported_group in found.items():
            if key in self._reallocations:
                claimed.update(reported_group.names)
            elif key not in self._pending:
                since_s = self._leaderless_s.get(key, view.now_s)
                judgement = judge(view, reported_group, view.now_s - since_s)
                if not judgement.free:
                    claimed.update(reported_group.names)
                yield from judgement.decisions

    def _reallocate(
        self,
        view: FleetView,
        found: Mapping[GroupKey, ReportedGroup],
        claimed: set[str],
    ) -> Iterator[FleetDecision]:
        """Yield what ends groups of one model for a group of another."""
        counts = Counter(self._pending.models(view.now_s + _SOON_S))
        counts.update(_serving(found))
        yield from self._reallocations.endings(view, found, claimed, counts)
        claimed.update(self._reallocations.claimed)
        chosen = self._reallocations.next_group(view, found)
        if chosen is not None:
            yield self._start_group(view, chosen)

    def _form(
        self,
        view: FleetView,
        found: Mapping[GroupKey, ReportedGroup],
        claimed: set[str],
    ) -> Iterator[FormGroup]:
        counts = Counter(self._pending.models())
        counts.update(_serving(found))
        choice = GroupChoice(view, self._pace, claimed, counts)
        chosen = choice.next_group()
        while chosen is not None:
            yield self._start_group(view, chosen)
            chosen = choice.next_group()

    def _start_group(self, view: FleetView, chosen: ChosenGroup) -> FormGroup:
        self._epoch += 1
        key = (f'g{self._epoch}', self._epoch)
        decision = FormGroup(key, chosen.model.name, chosen.members)
        self._pending.add(decision, view.now_s, chosen.ready_s)
        for runner in chosen.loading:
            self._pace.start(view, runner.name, chosen.model.name)
        return decision


def _serving(found: Mapping[GroupKey, ReportedGroup]) -> list[str]:
    """Return the model of each group that takes requests."""
    return [
        reported_group.model
        for reported_group in found.values()
        if reported_group.leader_state is MemberState.open
    ]
