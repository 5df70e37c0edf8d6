"""Which hosts this daemon probes."""

from __future__ import annotations

import itertools
from collections.abc import Iterator

from attrs import frozen

from cowslipstep.daemon._scopes import DomainScope, DomainScopes
from cowslipstep.daemon._state import DaemonState
from cowslipstep.groups import DomainLedger, hosts_to_probe
from cowslipstep.model import Group, Runner
from cowslipstep.routing import rank_owners


@frozen
class _Basis:
    probers: tuple[str, ...] = ()
    hosts: frozenset[str] = frozenset()
    groups: tuple[Group, ...] = ()


@frozen
class _Share:
    basis: _Basis = _Basis()
    hosts: frozenset[str] = frozenset()


class ProbeShares:
    """Divides the probes of each fabric domain over its probers.

    Parameters
    ----------
    state
        State of the daemon.
    scopes
        Fabric domains as configured, and the daemons near each.
    """

    def __init__(self, state: DaemonState, scopes: DomainScopes) -> None:
        self._state = state
        self._scopes = scopes
        self._shares: dict[str, _Share] = {}

    def runners(self) -> Iterator[Runner]:
        """Yield the runners whose probes fall to this daemon."""
        for scope in self._scopes.near.values():
            share = self._share(scope)
            for runner in scope.runners:
                if runner.host in share:
                    yield runner

    def _share(self, scope: DomainScope) -> frozenset[str]:
        ledger = self._state.ledgers.get(scope.domain)
        if ledger is None:
            ledger = DomainLedger(scope.domain)
        probers = self._scopes.probers(scope.domain)
        basis = _Basis(probers, scope.hosts, ledger.groups)
        share = self._shares.get(scope.domain, _Share())
        if share.basis != basis:
            share = _Share(basis, frozenset(self._work_out(basis, ledger)))
            self._shares[scope.domain] = share
        return share.hosts

    def _work_out(self, basis: _Basis, ledger: DomainLedger) -> Iterator[str]:
        own = self._state.settings.name
        return hosts_to_probe(
            ledger,
            basis.hosts,
            lambda name: rank_owners(name, basis.probers)[0] == own,
        )


def kept_runners(scopes: DomainScopes) -> Iterator[Runner]:
    """Yield the runners of the domains whose lease this daemon should hold."""
    return itertools.chain.from_iterable(
        scope.runners for scope in scopes.owned.values()
    )
