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
# A head that has vanished may finish its requests before it has to leave.
_FINISH_S = 1.5
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
    decisions: tuple[FleetDecision, ...] = ()


_FREE = _Verdict(free=True)
_KEPT = _Verdict(free=False)


class FleetKeeper:
    """Decides on the groups of one service; gives no orders itself.

    A member is only taken for another group when it has left its group, or
    when its head has left, is broken or was never told to serve.

    Parameters
    ----------
    term
        Number of the term of the lease under which decisions are made.
    """

    def __init__(self, term: int) -> None:
        self._epochs = _EPOCHS_PER_TERM * term
        self._pending: dict[FormationKey, _Pending] = {}
        self._since_s: dict[FormationKey, float] = {}
        self._ordered_s: dict[tuple[type, FormationKey, str], float] = {}
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
            decisions.extend(verdict.decisions)
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
            self._epochs = max(self._epochs, key[1])
            if formation.head is not None:
                self._since_s.pop(key, None)
            else:
                self._since_s.setdefault(key, view.now_s)
        for key in tuple(self._since_s):
            if key not in found:
                self._since_s.pop(key)

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
                return _judge_open(view, formation, head, whole=whole)
        return _KEPT if whole else _leave(formation, head)

    def _judge_headless(
        self,
        view: FleetView,
        formation: Formation,
    ) -> _Verdict:
        key = formation.key
        head = view.members.get(key, {}).get(0)
        if head is None or head.name in view.lost:
            return _members_leave(formation)
        if head.name in view.runners:
            # Registered without this group: it has left or restarted.
            return _FREE
        if head.name not in view.heard:
            return _members_leave(formation)
        waited_s = view.now_s - self._since_s.get(key, view.now_s)
        if waited_s < _FINISH_S:
            return _Verdict(free=False, decisions=(CloseGroup(key, head),))
        return _leave(formation, head)

    def _is_due(self, view: FleetView, decision: FleetDecision) -> bool:
        match decision:
            case (
                OpenGroup(key, runner)
                | CloseGroup(key, runner)
                | LeaveGroup(key, runner)
            ):
                named = (type(decision), key, runner.name)
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
        opening = OpenGroup(formation.key, head)
        return _Verdict(free=False, decisions=(opening,))
    return _KEPT


def _judge_open(
    view: FleetView,
    formation: Formation,
    head: DiscoveredRunner,
    *,
    whole: bool,
) -> _Verdict:
    known = view.members.get(formation.key, {})
    missing = [
        member
        for rank, member in known.items()
        if rank not in formation.members
    ]
    # A vanished member that answers still serves; when it has ended, the
    # head stands still.
    serving = all(member.name in view.heard for member in missing)
    if not (whole or (missing and serving)):
        return _leave(formation, head)
    if formation.draining:
        closing = CloseGroup(formation.key, head)
        return _Verdict(free=False, decisions=(closing,))
    return _KEPT


def _leave(formation: Formation, head: DiscoveredRunner) -> _Verdict:
    return _Verdict(free=False, decisions=(LeaveGroup(formation.key, head),))


def _members_leave(formation: Formation) -> _Verdict:
    """Free the members of a head that cannot be told to leave."""
    return _Verdict(
        free=False,
        decisions=tuple(
            LeaveGroup(formation.key, member)
            for member in formation.members.values()
        ),
    )


def _names(formation: Formation) -> set[str]:
    return {runner.name for runner in formation.members.values()}
