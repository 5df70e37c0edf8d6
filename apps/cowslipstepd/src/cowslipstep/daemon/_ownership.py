"""Fabric domains whose lease this daemon should try to acquire."""

from __future__ import annotations

from collections.abc import Iterator

from cowslipstep.daemon._state import DaemonState
from cowslipstep.model import Configuration
from cowslipstep.routing import rendezvous_order


class DomainOwnership:
    """Choice of an owner for each fabric domain, by rendezvous hashing.

    Only the owner tries to acquire the lease. Daemons in the same failure
    domain as the hosts are preferred, since their probes still reach the
    hosts when that failure domain is cut off from the others.

    The choice is computed again when the live daemons or the configuration
    change.

    Parameters
    ----------
    state
        State of the daemon.
    """

    def __init__(self, state: DaemonState) -> None:
        self._state = state
        self._inputs: tuple[frozenset[str], int] = (frozenset(), 0)
        self._owned: frozenset[str] = frozenset()

    def owned_domains(self) -> frozenset[str]:
        """Names of the fabric domains that this daemon owns now."""
        configuration = self._state.configuration
        if configuration is None:
            return frozenset()
        inputs = (_candidates(self._state), self._state.version)
        if inputs != self._inputs:
            self._inputs = inputs
            self._owned = frozenset(
                self._compute_owned(configuration, inputs[0])
            )
        return self._owned

    def _compute_owned(
        self,
        configuration: Configuration,
        daemons: frozenset[str],
    ) -> Iterator[str]:
        failure_domains = {
            runner.fabric_domain: runner.failure_domain
            for runner in configuration.runners
        }
        for domain, failure_domain in failure_domains.items():
            local = daemons & self._state.daemons_in(failure_domain)
            owner = rendezvous_order(domain, local or daemons)[0]
            if owner == self._state.settings.name:
                yield domain


def _candidates(state: DaemonState) -> frozenset[str]:
    live = frozenset(state.live_daemons)
    if not state.stopping:
        return live
    return live - {state.settings.name} or live
