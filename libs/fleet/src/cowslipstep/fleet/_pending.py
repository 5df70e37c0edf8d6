"""Groups that were ordered and do not serve yet."""

from __future__ import annotations

import math
from collections.abc import Mapping

from attrs import frozen

from cowslipstep.fleet._decisions import FleetView, FormGroup, OpenGroup
from cowslipstep.fleet._formations import Formation, FormationKey
from cowslipstep.fleet._runners import SeatState

# A group that is not ready after this many of its load times has failed.
_OVERDUE_FACTOR = 3
_MIN_PATIENCE_S = 4
_SERVED = frozenset((SeatState.open, SeatState.closing, SeatState.broken))


@frozen
class _Pending:
    order: FormGroup
    ready_at_s: float
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

    def models(self, ready_by_s: float = math.inf) -> list[str]:
        """Return the model of each group that is ready by a clock reading."""
        return [
            pending.order.model
            for pending in self._pending.values()
            if pending.ready_at_s <= ready_by_s
        ]

    def add(self, order: FormGroup, now_s: float, takes_s: float) -> None:
        """Remember a group that should be ready after a time."""
        patience_s = max(_MIN_PATIENCE_S, _OVERDUE_FACTOR * takes_s)
        self._pending[order.key] = _Pending(
            order,
            now_s + takes_s,
            now_s + patience_s,
        )

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
