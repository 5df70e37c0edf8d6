"""Decisions of the keeper of a fleet: which groups are formed and ended."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator, Mapping

from attrs import evolve

from cowslipstep.fleet._decisions import FleetDecision, FleetView, FormGroup
from cowslipstep.fleet._exchanges import Exchanges
from cowslipstep.fleet._formations import (
    Formation,
    FormationKey,
    formations,
)
from cowslipstep.fleet._group_choice import ChosenGroup, GroupChoice
from cowslipstep.fleet._judgement import judge
from cowslipstep.fleet._load_pace import LoadPace
from cowslipstep.fleet._pending import PendingGroups
from cowslipstep.fleet._registrations import Registrations
from cowslipstep.fleet._repeats import Repeats
from cowslipstep.fleet._runners import SeatState
from cowslipstep.fleet._staging import stage_models

# Leaves room for the numbers of all groups of a term.
_EPOCHS_PER_TERM = 10000
# Groups that are ready within this time count as if they served, seconds.
_SOON_S = 3


class FleetKeeper:
    """Decides on the groups of one service; gives no orders itself.

    Parameters
    ----------
    term
        Number of the term of the lease under which decisions are made.
    """

    def __init__(self, term: int) -> None:
        self._epoch = _EPOCHS_PER_TERM * term
        self._pending = PendingGroups()
        self._headless_s: dict[FormationKey, float] = {}
        self._repeats = Repeats()
        self._pace = LoadPace()
        self._exchanges = Exchanges()
        self._registrations = Registrations()

    def decide(self, view: FleetView) -> list[FleetDecision]:
        """Return what shall be done now."""
        view = evolve(view, settled=self._registrations.are_settled(view))
        found = formations(view.present)
        self._note(view, found)
        claimed = {*self._pending.claimed, *self._exchanges.claimed}
        decisions: list[FleetDecision] = []
        decisions.extend(self._pending.openings(found))
        decisions.extend(self._keep(view, found, claimed))
        decisions.extend(self._exchange(view, found, claimed))
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
        found: Mapping[FormationKey, Formation],
    ) -> None:
        """Follow what runners report."""
        self._pace.settle(view)
        self._pending.drop_ended(view, found)
        self._exchanges.settle(view, found)
        for _, epoch in found:
            self._epoch = max(self._epoch, epoch)
        headless = (
            key for key, formation in found.items() if formation.head is None
        )
        self._headless_s = {
            key: self._headless_s.get(key, view.now_s) for key in headless
        }

    def _keep(
        self,
        view: FleetView,
        found: Mapping[FormationKey, Formation],
        claimed: set[str],
    ) -> Iterator[FleetDecision]:
        """Yield what keeps or ends groups; claim members that are not free."""
        for key, formation in found.items():
            if key in self._exchanges:
                claimed.update(formation.names)
            elif key not in self._pending:
                since_s = self._headless_s.get(key, view.now_s)
                judgement = judge(view, formation, view.now_s - since_s)
                if not judgement.free:
                    claimed.update(formation.names)
                yield from judgement.decisions

    def _exchange(
        self,
        view: FleetView,
        found: Mapping[FormationKey, Formation],
        claimed: set[str],
    ) -> Iterator[FleetDecision]:
        """Yield what ends groups of one model for a group of another."""
        counts = Counter(self._pending.models(view.now_s + _SOON_S))
        counts.update(_serving(found))
        yield from self._exchanges.endings(view, found, claimed, counts)
        claimed.update(self._exchanges.claimed)
        chosen = self._exchanges.next_group(view, found)
        if chosen is not None:
            yield self._order(view, chosen)

    def _form(
        self,
        view: FleetView,
        found: Mapping[FormationKey, Formation],
        claimed: set[str],
    ) -> Iterator[FormGroup]:
        counts = Counter(self._pending.models())
        counts.update(_serving(found))
        choice = GroupChoice(view, self._pace, claimed, counts)
        chosen = choice.next_group()
        while chosen is not None:
            yield self._order(view, chosen)
            chosen = choice.next_group()

    def _order(self, view: FleetView, chosen: ChosenGroup) -> FormGroup:
        self._epoch += 1
        key = (f'g{self._epoch}', self._epoch)
        order = FormGroup(key, chosen.model.name, chosen.members)
        self._pending.add(order, view.now_s, chosen.ready_s)
        for runner in chosen.loading:
            self._pace.start(view, runner.name, chosen.model.name)
        return order


def _serving(found: Mapping[FormationKey, Formation]) -> list[str]:
    """Return the model of each group that takes requests."""
    return [
        formation.model
        for formation in found.values()
        if formation.head_state is SeatState.open
    ]
