"""Groups that end so that a model which is asked for more gets their runners.

Runners of a group that broke are often too few for another one of its model,
and go to a model of smaller groups. Without an exchange a model of large
groups loses a group with each failure, whatever is asked for.
"""

from __future__ import annotations

from collections.abc import Collection, Iterator, Mapping

from attrs import evolve

from cowslipstep.fleet._decisions import CloseGroup, FleetView, LeaveGroup
from cowslipstep.fleet._exchange_choice import ExchangeChoice
from cowslipstep.fleet._formations import Formation, FormationKey
from cowslipstep.fleet._group_choice import ChosenGroup
from cowslipstep.fleet._possible_exchanges import (
    Exchange,
    Formations,
    PossibleExchanges,
)
from cowslipstep.fleet._runners import SeatState

# Runners join another group, or fail to, within this time, seconds.
_JOINING_S = 4
# The demand is smoothed; it shows the effect of an exchange after this time.
_REST_S = 3


class Exchanges:
    """Carries out one exchange after the other."""

    def __init__(self) -> None:
        self._exchange: Exchange | None = None
        self._rest_until_s: float = 0

    def __contains__(self, key: FormationKey) -> bool:
        return self._exchange is not None and key in self._exchange.ending

    @property
    def claimed(self) -> frozenset[str]:
        """Names of the members of the new group."""
        return self._exchange.names if self._exchange else frozenset()

    def settle(self, view: FleetView, found: Formations) -> None:
        """Forget an exchange that is done or has failed."""
        exchange = self._exchange
        if exchange is None:
            return
        present = frozenset(runner.name for runner in view.present)
        failed = exchange.until_s <= view.now_s or exchange.needed - present
        if failed or (exchange.formed and _has_moved(exchange, found)):
            self._exchange = None
            self._rest_until_s = view.now_s + _REST_S

    def endings(
        self,
        view: FleetView,
        found: Formations,
        claimed: Collection[str],
        counts: Mapping[str, int],
    ) -> Iterator[CloseGroup | LeaveGroup]:
        """Yield what ends groups, those of a new exchange too.

        A head that has closed leaves as well: an order to open it may still
        be on its way.
        """
        if self._exchange is None and view.now_s >= self._rest_until_s:
            possible = PossibleExchanges(view, found, claimed)
            self._exchange = ExchangeChoice(view, counts, possible).best()
        if self._exchange is None or self._exchange.formed:
            return
        for key, head in self._exchange.ending.items():
            match _head_state(found.get(key)):
                case SeatState.open:
                    yield CloseGroup(key, head)
                case SeatState.ready:
                    yield LeaveGroup(key, head)

    def next_group(
        self,
        view: FleetView,
        found: Formations,
    ) -> ChosenGroup | None:
        """Return the group to form once the others have closed."""
        exchange = self._exchange
        if exchange is None or exchange.formed:
            return None
        staying = exchange.ending.keys() - view.left
        if any(map(_head_state, map(found.get, staying))):
            return None
        until_s = view.now_s + _JOINING_S
        self._exchange = evolve(exchange, formed=True, until_s=until_s)
        return ChosenGroup(
            exchange.model,
            exchange.members,
            loading=(),
            ready_s=exchange.model.warm_s,
        )


def _head_state(formation: Formation | None) -> SeatState | None:
    """Return the state of a head that has not left its group."""
    return formation.head_state if formation else None


def _has_moved(exchange: Exchange, found: Formations) -> bool:
    """Whether no member of the new group reports its former group."""
    former = (found[key] for key in exchange.ending if key in found)
    return not any(exchange.names & group.names for group in former)
