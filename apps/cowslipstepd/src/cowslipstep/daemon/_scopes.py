"""Fabric domains that this daemon owns, as configured."""

from __future__ import annotations

from attrs import frozen

from cowslipstep.daemon._ownership import DaemonsNear, DomainOwnership
from cowslipstep.daemon._state import DaemonState
from cowslipstep.groups import count_probers, domain_shares
from cowslipstep.model import Configuration, Model, Runner
from cowslipstep.routing import rank_owners


@frozen
class DomainScope:
    """A fabric domain, the groups that it should hold and the load limit."""

    domain: str
    runners: tuple[Runner, ...]
    models: tuple[Model, ...]
    loads_at_once: int

    @property
    def hosts(self) -> frozenset[str]:
        """Names of the hosts of the domain."""
        return frozenset(runner.host for runner in self.runners)


class DomainScopes:
    """The scopes of the owned fabric domains.

    Parameters
    ----------
    state
        State of the daemon.
    """

    def __init__(self, state: DaemonState) -> None:
        self._state = state
        self._ownership = DomainOwnership(state)
        self._version = 0
        self._all: dict[str, DomainScope] = {}
        self._owned: dict[str, DomainScope] = {}
        self._near: dict[str, DomainScope] = {}
        self._daemons: DaemonsNear = {}
        self._probers: dict[str, tuple[str, ...]] = {}

    @property
    def owned(self) -> dict[str, DomainScope]:
        """Scopes of the domains owned now, by name."""
        return self._owned

    @property
    def near(self) -> dict[str, DomainScope]:
        """Scopes of the domains whose probes this daemon shares, by name."""
        return self._near

    def probers(self, domain: str) -> tuple[str, ...]:
        """Return the daemons that share the probes of a domain.

        The first one keeps it as well.
        """
        return self._probers.get(domain, ())

    def update(self) -> None:
        """Work out the scopes for the configuration and peers of now."""
        configuration = self._state.configuration
        if configuration is None:
            return
        if self._state.version != self._version:
            self._version = self._state.version
            self._all = _scopes(configuration)
        daemons = self._ownership.daemons_near()
        if daemons is not self._daemons:
            self._daemons = daemons
            self._choose_probers()

    def _choose_probers(self) -> None:
        own = self._state.settings.name
        self._probers = {
            domain: rank_owners(domain, self._daemons[domain])[
                : count_probers(len(self._all[domain].runners))
            ]
            for domain in sorted(self._daemons)
        }
        self._near = {
            domain: self._all[domain]
            for domain, probers in self._probers.items()
            if own in probers
        }
        self._owned = {
            domain: scope
            for domain, scope in self._near.items()
            if self._probers[domain][0] == own
        }


def _scopes(configuration: Configuration) -> dict[str, DomainScope]:
    shares = domain_shares(configuration.models, configuration.runners)
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
