"""Keeper of fabric domains: forms groups, gives orders, probes members."""

from __future__ import annotations

import json
import time
from collections.abc import Iterator

import attrs
import eventlet
import urllib3
from loguru import logger

from cowslipstep.daemon._state import DaemonState
from cowslipstep.groups import (
    DomainLedger,
    MemberReport,
    form_groups,
    group_readiness,
    missing_groups,
)
from cowslipstep.model import (
    Configuration,
    CowslipstepError,
    Group,
    GroupReadiness,
    Model,
    Runner,
)
from cowslipstep.platform import ObjectKey, ObjectMissing
from cowslipstep.routing import rank_owners
from cowslipstep.settings import parse_json, structure, unstructure

_PERIOD_S = 0.4
_PROBE_TIMEOUT_S = 0.5
_LEDGER_KIND = 'ledger'


class GroupService:
    """Keeps the groups of the fabric domains that this daemon owns.

    Parameters
    ----------
    state
        State of the daemon.
    """

    def __init__(self, state: DaemonState) -> None:
        self._state = state
        self._reports: dict[str, MemberReport] = {}
        self._readiness: tuple[GroupReadiness, ...] = ()
        self._http = urllib3.PoolManager(num_pools=256, retries=False)

    def own_readiness(self) -> tuple[GroupReadiness, ...]:
        """Readiness of the groups that this daemon probes."""
        return self._readiness

    def step(self) -> None:
        """Read the ledgers, keep the own domains and probe their members."""
        configuration = self._state.configuration
        if configuration is None:
            return
        try:
            self._read_ledgers()
            for domain in self._own_domains(configuration):
                self._keep(domain, configuration)
        except CowslipstepError as error:
            logger.warning('ledgers not kept: {}', error)
        self._probe_groups(configuration)

    def _read_ledgers(self) -> None:
        for stored in self._state.platform.read_all(_LEDGER_KIND):
            ledger = structure(parse_json(stored.body), DomainLedger)
            self._state.ledgers[ledger.fabric_domain] = ledger

    def _own_domains(self, configuration: Configuration) -> Iterator[str]:
        domains = {runner.fabric_domain for runner in configuration.runners}
        for domain in sorted(domains):
            owner = rank_owners(domain, self._state.live_daemons)[0]
            if owner == self._state.settings.name:
                yield domain

    def _keep(self, domain: str, configuration: Configuration) -> None:
        key = ObjectKey(_LEDGER_KIND, domain)
        try:
            stored = self._state.platform.read(key)
        except ObjectMissing:
            self._state.platform.create(key, _format(DomainLedger(domain)))
            return
        ledger = structure(parse_json(stored.body), DomainLedger)
        formed = form_groups(
            ledger,
            self._usable_runners(domain, configuration),
            missing_groups(ledger, _models_for_domain(configuration)),
        )
        if formed == ledger:
            return
        version = self._state.platform.update(
            key,
            stored.version,
            _format(formed),
        )
        logger.bind(domain=domain, version=version).info('groups changed')
        self._state.ledgers[domain] = formed
        self._order_members(formed, version, configuration)

    def _usable_runners(
        self,
        domain: str,
        configuration: Configuration,
    ) -> tuple[Runner, ...]:
        return tuple(
            runner
            for runner in configuration.runners
            if runner.fabric_domain == domain
        )

    def _order_members(
        self,
        ledger: DomainLedger,
        fence: int,
        configuration: Configuration,
    ) -> None:
        runners = {runner.host: runner for runner in configuration.runners}
        for group in ledger.groups:
            for member in group.members:
                self._order(runners[member], group, fence)

    def _order(self, runner: Runner, group: Group, fence: int) -> None:
        order = {
            'order': 'assign',
            'group': group.name,
            'model': group.model,
            'members': group.members,
            'fence': fence,
        }
        try:
            self._http.request(
                'POST',
                f'http://{runner.address}/orders',
                body=json.dumps(order),
                timeout=_PROBE_TIMEOUT_S,
            )
        except urllib3.exceptions.HTTPError as error:
            logger.bind(host=runner.host).warning('order failed: {}', error)

    def _probe_groups(self, configuration: Configuration) -> None:
        runners = {runner.host: runner for runner in configuration.runners}
        groups = [
            group
            for domain in self._own_domains(configuration)
            for group in self._ledger(domain).groups
        ]
        pool = eventlet.GreenPool()
        for group in groups:
            for member in group.members:
                pool.spawn(self._probe, runners[member])
        pool.waitall()
        now = time.monotonic()
        self._readiness = tuple(
            group_readiness(group, self._reports, now) for group in groups
        )
        for readiness in self._readiness:
            self._state.readiness.learn(readiness)

    def _ledger(self, domain: str) -> DomainLedger:
        return self._state.ledgers.get(domain, DomainLedger(domain))

    def _probe(self, runner: Runner) -> None:
        sent_at_s = time.monotonic()
        try:
            answer = self._http.request(
                'GET',
                f'http://{runner.address}/health',
                timeout=_PROBE_TIMEOUT_S,
            )
        except urllib3.exceptions.HTTPError:
            return
        health = answer.json()
        self._reports[runner.host] = MemberReport(
            runner.host,
            health['group'],
            health['state'] == 'ready',
            sent_at_s,
        )


def _models_for_domain(configuration: Configuration) -> list[Model]:
    domains = {runner.fabric_domain for runner in configuration.runners}
    return [
        attrs.evolve(model, groups=-(-model.groups // len(domains)))
        for model in configuration.models
    ]


def _format(ledger: DomainLedger) -> str:
    return json.dumps(unstructure(ledger))


def period_s() -> float:
    """Seconds between two rounds of probes."""
    return _PERIOD_S
