"""Requests sent straight to groups, each daemon choosing for itself."""

from __future__ import annotations

from cowslipstep.replay._baselines import ChoiceOfTwo
from cowslipstep.replay._engines import Engine
from cowslipstep.replay._fleet import FleetModel
from cowslipstep.replay._outcomes import Outcome
from cowslipstep.replay._spec import TraceSpec
from cowslipstep.replay._timeline import Timeline


class DirectRunner:
    """Runs a trace without dispatchers.

    Parameters
    ----------
    spec
        The trace.
    fleet
        The fleet.
    timeline
        Time of the replay.
    """

    def __init__(
        self,
        spec: TraceSpec,
        fleet: FleetModel,
        timeline: Timeline,
    ) -> None:
        groups = fleet.groups_per_cell * len(fleet.failure_domains)
        self._ranks = [rank.name for rank in spec.ranks]
        self._engines = {
            f'g{index}': Engine(timeline, fleet) for index in range(groups)
        }
        self._daemons = [
            ChoiceOfTwo(timeline.clock, spec.seed + index)
            for index in range(fleet.daemons)
        ]

    def start(self, end_s: float) -> None:
        """Do nothing: there is no periodic work."""

    def arrive(self, outcome: Outcome, daemon: int) -> None:
        """Send a request to a group."""
        loads = {name: engine.load for name, engine in self._engines.items()}
        chosen = self._daemons[daemon].choose(loads)
        priority = self._ranks.index(outcome.arrival.rank)
        self._engines[chosen].start(outcome, _ignore, priority)


def _ignore(_outcome: Outcome) -> None:
    """Need nothing more at the end of a request."""
