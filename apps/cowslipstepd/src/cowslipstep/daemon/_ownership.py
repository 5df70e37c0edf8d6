"""Daemons that keep and probe each fabric domain."""

from __future__ import annotations

from collections.abc import Iterator

from cowslipstep.daemon._state import DaemonState
from cowslipstep.model import Configuration


DaemonsOfDomain = tuple[str, frozenset[str]]
DaemonsNear = dict[str, frozenset[str]]


class DomainOwnership:
    """Who may own what of fabric domains, worked out anew after a change.

    Daemons of the domain's own failure domain come first, since probes
    from there are not cut off with the other failure domains.

    Parameters
    ----------
    state
        State of the daemon.
    """

    def __init__(self, state: DaemonState) -> None:
        self._state = state
        self._basis: tuple[frozenset[str], int] = (frozenset(), 0)
        self._near: DaemonsNear = {}

    def daemons_near(self) -> DaemonsNear:
        """Live daemons of each fabric domain's failure domain, else all."""
        configuration = self._state.configuration
        if configuration is None:
            return {}
        basis = (_candidates(self._state), self._state.version)
        if basis != self._basis:
            self._basis = basis
            self._near = dict(self._work_out(configuration, basis[0]))
        return self._near

    def _work_out(
        self,
        configuration: Configuration,
        daemons: frozenset[str],
    ) -> Iterator[DaemonsOfDomain]:
        locations = {
            runner.fabric_domain: runner.failure_domain
            for runner in configuration.runners
        }
        for domain, home in locations.items():
            local = daemons & self._state.daemons_in(home)
            yield domain, local or daemons


def _candidates(state: DaemonState) -> frozenset[str]:
    live = frozenset(state.live_daemons)
    if not state.stopping:
        return live
    return live - {state.settings.name} or live
