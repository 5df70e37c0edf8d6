"""Replay in which each entry daemon sends its requests directly to groups."""

from __future__ import annotations

from cowslipstep.replay._baselines import PowerOfTwoChoices
from cowslipstep.replay._engines import Engine
from cowslipstep.replay._event_scheduler import EventScheduler
from cowslipstep.replay._fleet_model import FleetModel
from cowslipstep.replay._outcomes import Outcome
from cowslipstep.replay._spec import TraceSpec


class DirectReplay:
    """Replays a trace without dispatchers.

    Parameters
    ----------
    spec
        The trace.
    fleet
        The modelled fleet.
    scheduler
        Scheduler of the replay's events.
    """

    def __init__(
        self,
        spec: TraceSpec,
        fleet: FleetModel,
        scheduler: EventScheduler,
    ) -> None:
        groups = fleet.groups_per_cell * len(fleet.failure_domains)
        self._ranks = [rank.name for rank in spec.ranks]
        self._engines = {
            f'g{index}': Engine(scheduler, fleet) for index in range(groups)
        }
        self._policies = [
            PowerOfTwoChoices(scheduler.clock, spec.seed + index)
            for index in range(fleet.daemons)
        ]

    def update_until(self, end_s: float) -> None:
        """Do nothing: there are no dispatchers to update."""

    def handle_arrival(self, outcome: Outcome, daemon: int) -> None:
        """Send a request to the group that its entry daemon chooses."""
        loads = {name: engine.load for name, engine in self._engines.items()}
        chosen = self._policies[daemon].choose(loads)
        priority = self._ranks.index(outcome.arrival.rank)
        self._engines[chosen].start(outcome, _no_release, priority)


def _no_release(_outcome: Outcome) -> None:
    """Do nothing at the end of a request: no grant is to be released."""
