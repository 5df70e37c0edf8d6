"""Fabric domains whose lease this daemon should try to hold."""

from __future__ import annotations

from collections.abc import Iterator

from cowslipstep.daemon._state import DaemonState
from cowslipstep.model import Configuration
from cowslipstep.routing import rendezvous_order


class DomainOwnership:
    """Soft ownership of fabric domains, worked out anew after a change.

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
        self._owned: frozenset[str] = frozenset()

    def owned_domains(self) -> frozenset[str]:
        """Names of the fabric domains that this daemon owns now."""
        configuration = self._state.configuration
        if configuration is None:
            return frozenset()
        basis = (_candidates(self._state), self._state.version)
        if basis != self._basis:
            self._basis = basis
            self._owned = frozenset(self._work_out(configuration, basis[0]))
        return self._owned

    def _work_out(
        self,
        configuration: Configuration,
        daemons: frozenset[str],
    ) -> Iterator[str]:
        locations = {
            runner.fabric_domain: runner.failure_domain
            for runner in configuration.runners
        }
        for domain, home in locations.items():
            local = daemons & self._state.daemons_in(home)
            owner = rendezvous_order(domain, local or daemons)[0]
            if owner == self._state.settings.name:
                yield domain


def _candidates(state: DaemonState) -> frozenset[str]:
    live = frozenset(state.live_daemons)
    if not state.stopping:
        return live
    return live - {state.settings.name} or live
