"""Hosts and configured groups of the fabric domains owned here."""

from __future__ import annotations

from attrs import frozen

from cowslipstep.daemon._ownership import DomainOwnership
from cowslipstep.daemon._state import DaemonState
from cowslipstep.groups import distribute_groups
from cowslipstep.model import Configuration, Model, Runner


@frozen
class DomainScope:
    """A fabric domain as configured: hosts, groups and the limit of loads.

    ``models`` carry the number of groups that this domain should hold;
    at most ``loads_at_once`` hosts load weights at the same time.
    """

    domain: str
    runners: tuple[Runner, ...]
    models: tuple[Model, ...]
    loads_at_once: int

    @property
    def hosts(self) -> frozenset[str]:
        """Names of the hosts of the domain."""
        return frozenset(runner.host for runner in self.runners)


class DomainScopes:
    """Scopes of the fabric domains that this daemon owns.

    Parameters
    ----------
    state
        State of the daemon.
    """

    def __init__(self, state: DaemonState) -> None:
        self._state = state
        self._ownership = DomainOwnership(state)
        self._version = 0
        self._all_scopes: dict[str, DomainScope] = {}
        self._owned: dict[str, DomainScope] = {}

    @property
    def owned(self) -> dict[str, DomainScope]:
        """Scopes of the domains owned at the last update, by name."""
        return self._owned

    def update(self) -> None:
        """Compute the scopes for the present configuration and live daemons."""
        configuration = self._state.configuration
        if configuration is None:
            return
        if self._state.version != self._version:
            self._version = self._state.version
            self._all_scopes = _compute_scopes(configuration)
        owned = self._ownership.owned_domains()
        self._owned = {name: self._all_scopes[name] for name in sorted(owned)}


def _compute_scopes(configuration: Configuration) -> dict[str, DomainScope]:
    shares = distribute_groups(configuration.models, configuration.runners)
    return {
        domain: DomainScope(
            domain,
            tuple(
                runner
                for runner in configuration.runners
                if runner.fabric_domain == domain
            ),
            models,
            configuration.weight_loads_at_once,
        )
        for domain, models in shares.items()
    }
