"""Decisions of the keeper of a fleet: which groups are formed and ended."""

from __future__ import annotations

from collections.abc import Iterator

from attrs import define, evolve, frozen

from cowslipstep.groups._fleet_decisions import (
    CloseGroup,
    FleetDecision,
    FleetView,
    FormGroup,
    LeaveGroup,
    OpenGroup,
)
from cowslipstep.groups._fleet_staging import stage_models
from cowslipstep.groups._formations import (
    Formation,
    FormationKey,
    formations,
)
from cowslipstep.groups._group_choice import GroupChoice
from cowslipstep.groups._load_pace import LoadPace
from cowslipstep.model import DiscoveredRunner, SeatState

# An order whose effect does not show is repeated after this time.
REPEAT_S = 1
# Room for entries to show what has happened.
_MARGIN_S = 1
# A group that is not ready after this many of its load times has failed.
_OVERDUE_FACTOR = 3
_MIN_PATIENCE_S = 4
# Runners that start together register within this time of each other.
_SETTLED_S = 1.5
# Leaves room for the numbers of all groups of a term.
_EPOCHS_PER_TERM = 10000


@define
class _Pending:
    """A group that was ordered and does not serve yet."""

    order: FormGroup
    until_s: float
    opened: bool = False


@frozen
class _Verdict:
    """Whether the members are free, and what shall be done meanwhile."""

    free: bool
    decision: FleetDecision | None = None


_FREE = _Verdict(free=True)
_KEPT = _Verdict(free=False)


class FleetKeeper:
    """Decides on the groups of one service; gives no orders itself.

    A member is only taken for another group when its head has left the
    group, is broken, was never told to serve, or was not seen for longer
    than a group that has lost a member stands still.

    Parameters
    ----------
    term
        Number of the term of the lease under which decisions are made.
    stall_s
        Time for which a group stands still after it has lost a member.
    """

    def __init__(self, term: int, stall_s: float) -> None:
        self._epochs = _EPOCHS_PER_TERM * term
        self._stall_s = stall_s
        self._pending: dict[FormationKey, _Pending] = {}
        self._heads: dict[FormationKey, str] = {}
        self._since_s: dict[FormationKey, float] = {}
        self._ordered_s: dict[tuple[type, FormationKey], float] = {}
        self._pace = LoadPace()
        self._known: frozenset[str] = frozenset()
        self._registered_s = -_SETTLED_S

    def decide(self, view: FleetView) -> list[FleetDecision]:
        """Return what shall be done now."""
        view = evolve(view, settled=self._is_settled(view))
        found = formations(view.present)
        self._pace.settle(view)
        self._note(view, found)
        decisions: list[FleetDecision] = []
        claimed = self._claim_pending(view, found, decisions)
        for key, formation in found.items():
            if key in self._pending:
                continue
            verdict = self._judge(view, formation)
            if not verdict.free:
                claimed.update(_names(formation))
            if verdict.decision is not None:
                decisions.append(verdict.decision)
        decisions = [
            decision for decision in decisions if self._is_due(view, decision)
        ]
        decisions.extend(self._form(view, found, claimed))
        decisions.extend(stage_models(view, self._pace))
        return decisions

    def _is_settled(self, view: FleetView) -> bool:
        names = frozenset(view.runners)
        if names - self._known:
            self._registered_s = view.now_s
        self._known = names
        return view.now_s - self._registered_s >= _SETTLED_S

    def _note(
        self,
        view: FleetView,
        found: dict[FormationKey, Formation],
    ) -> None:
        for key, formation in found.items():
            if formation.head is not None:
                self._heads[key] = formation.head.name
                self._since_s.pop(key, None)
            else:
                self._since_s.setdefault(key, view.now_s)
        for known in (self._heads, self._since_s):
            for key in tuple(known):
                if key not in found and key not in self._pending:
                    known.pop(key)

    def _claim_pending(
        self,
        view: FleetView,
        found: dict[FormationKey, Formation],
        decisions: list[FleetDecision],
    ) -> set[str]:
        claimed: set[str] = set()
        present = {runner.name for runner in view.present}
        for key, pending in tuple(self._pending.items()):
            names = [member.name for member in pending.order.members]
            formation = found.get(key)
            if not self._goes_on(view, pending, formation, present):
                self._pending.pop(key)
                continue
            claimed.update(names)
            decision = _next_step(pending, formation)
            if decision is not None:
                pending.opened = True
                decisions.append(decision)
        return claimed

    def _goes_on(
        self,
        view: FleetView,
        pending: _Pending,
        formation: Formation | None,
        present: set[str],
    ) -> bool:
        served = (SeatState.open, SeatState.closing, SeatState.broken)
        if formation is not None and formation.head_state in served:
            return False
        return view.now_s < pending.until_s and all(
            member.name in present for member in pending.order.members
        )

    def _judge(self, view: FleetView, formation: Formation) -> _Verdict:
        model = view.engine.model(formation.model)
        whole = model is not None and formation.is_whole(model.group_size)
        head = formation.head
        if head is None:
            return self._judge_headless(view, formation)
        match formation.head_state:
            case SeatState.broken:
                return _FREE
            case SeatState.joining:
                return _KEPT if whole else _FREE
            case SeatState.ready:
                return _judge_ready(formation, head, whole=whole)
            case SeatState.open:
                return _judge_open(formation, head, whole=whole)
        return _KEPT if whole else _leave(formation, head)

    def _judge_headless(
        self,
        view: FleetView,
        formation: Formation,
    ) -> _Verdict:
        name = self._heads.get(formation.key, '')
        if name in view.runners and name not in view.lost:
            # It registers without this group: it has left or restarted.
            return _FREE
        since_s = self._since_s.get(formation.key, view.now_s)
        if view.now_s - since_s > self._stall_s + _MARGIN_S:
            return _FREE
        return _KEPT

    def _is_due(self, view: FleetView, decision: FleetDecision) -> bool:
        match decision:
            case OpenGroup(key) | CloseGroup(key) | LeaveGroup(key):
                named = (type(decision), key)
                ordered_s = self._ordered_s.get(named, -REPEAT_S)
                if view.now_s - ordered_s < REPEAT_S:
                    return False
                self._ordered_s[named] = view.now_s
        return True

    def _form(
        self,
        view: FleetView,
        found: dict[FormationKey, Formation],
        claimed: set[str],
    ) -> Iterator[FormGroup]:
        counts = self._count(view, found)
        choice = GroupChoice(view, self._pace, claimed, counts)
        while True:
            chosen = choice.next_group()
            if chosen is None:
                return
            self._epochs += 1
            key = (f'g{self._epochs}', self._epochs)
            order = FormGroup(key, chosen.model.name, chosen.members)
            patience_s = max(
                _MIN_PATIENCE_S,
                _OVERDUE_FACTOR * chosen.ready_s,
            )
            self._pending[key] = _Pending(order, view.now_s + patience_s)
            for runner in chosen.loading:
                self._pace.start(view, runner.name, chosen.model.name)
            yield order

    def _count(
        self,
        view: FleetView,
        found: dict[FormationKey, Formation],
    ) -> dict[str, int]:
        counts = {model.name: 0 for model in view.engine.models}
        for key, formation in found.items():
            serves = formation.head_state is SeatState.open
            if serves and key not in self._pending:
                counts[formation.model] = counts.get(formation.model, 0) + 1
        for pending in self._pending.values():
            counts[pending.order.model] += 1
        return counts


def _next_step(
    pending: _Pending,
    formation: Formation | None,
) -> FleetDecision | None:
    if formation is None or formation.head is None:
        return None
    whole = formation.is_whole(len(pending.order.members))
    if whole and formation.are_ready():
        return OpenGroup(formation.key, formation.head)
    return None


def _judge_ready(
    formation: Formation,
    head: DiscoveredRunner,
    *,
    whole: bool,
) -> _Verdict:
    if not whole or formation.draining:
        # An order to open may still be on its way to the head.
        return _leave(formation, head)
    if formation.are_ready():
        return _Verdict(free=False, decision=OpenGroup(formation.key, head))
    return _KEPT


def _judge_open(
    formation: Formation,
    head: DiscoveredRunner,
    *,
    whole: bool,
) -> _Verdict:
    if not whole:
        return _leave(formation, head)
    if formation.draining:
        return _Verdict(free=False, decision=CloseGroup(formation.key, head))
    return _KEPT


def _leave(formation: Formation, head: DiscoveredRunner) -> _Verdict:
    return _Verdict(free=False, decision=LeaveGroup(formation.key, head))


def _names(formation: Formation) -> set[str]:
    return {runner.name for runner in formation.members.values()}
