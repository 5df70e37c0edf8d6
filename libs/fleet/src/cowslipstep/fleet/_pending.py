"""Groups that were ordered and do not serve yet."""

from __future__ import annotations

from collections.abc import Mapping

from attrs import frozen

from cowslipstep.fleet._decisions import FleetView, FormGroup, OpenGroup
from cowslipstep.fleet._formations import Formation, FormationKey
from cowslipstep.fleet._runners import SeatState

_SERVED = frozenset((SeatState.open, SeatState.closing, SeatState.broken))


@frozen
class _Pending:
    order: FormGroup
    until_s: float

    @property
    def names(self) -> frozenset[str]:
        """Names of its members."""
        return frozenset(member.name for member in self.order.members)


class PendingGroups:
    """Remembers ordered groups until they serve or have failed."""

    def __init__(self) -> None:
        self._pending: dict[FormationKey, _Pending] = {}

    def __contains__(self, key: FormationKey) -> bool:
        return key in self._pending

    @property
    def claimed(self) -> frozenset[str]:
        """Names of all members."""
        return frozenset().union(
            *(pending.names for pending in self._pending.values()),
        )

    @property
    def models(self) -> list[str]:
        """The model of each group."""
        return [pending.order.model for pending in self._pending.values()]

    def add(self, order: FormGroup, until_s: float) -> None:
        """Remember a group that has to be ready by that clock reading."""
        self._pending[order.key] = _Pending(order, until_s)

    def drop_ended(
        self,
        view: FleetView,
        found: Mapping[FormationKey, Formation],
    ) -> None:
        """Forget groups that serve, took too long or lost a member."""
        present = frozenset(runner.name for runner in view.present)
        self._pending = {
            key: pending
            for key, pending in self._pending.items()
            if not _serves(found.get(key))
            and view.now_s < pending.until_s
            and pending.names <= present
        }

    def openings(
        self,
        found: Mapping[FormationKey, Formation],
    ) -> list[OpenGroup]:
        """Return the groups whose members are all ready."""
        openings = []
        for key, pending in self._pending.items():
            formation = found.get(key)
            if formation is None or formation.head is None:
                continue
            whole = formation.is_whole(len(pending.order.members))
            if whole and formation.are_ready():
                openings.append(OpenGroup(key, formation.head))
        return openings


def _serves(formation: Formation | None) -> bool:
    return formation is not None and formation.head_state in _SERVED
