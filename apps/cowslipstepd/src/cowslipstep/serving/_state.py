"""What the tasks of a serving daemon share."""

from __future__ import annotations

import time
from collections import defaultdict

from attrs import Factory, define, field

from cowslipstep.delivery import RetryBudget
from cowslipstep.platform import PlatformClient
from cowslipstep.routing import UpstreamLoads
from cowslipstep.serving._configuration_feed import ConfigurationInForce
from cowslipstep.serving._dialects import Dialects
from cowslipstep.serving._groups_view import GroupsView
from cowslipstep.serving._runner_table import RunnerEntries, RunnerTable
from cowslipstep.serving._suspicions import Suspicions
from cowslipstep.settings import ServingSettings

# Leaves room for reports of daemons that are counted late.
_RETRY_SHARE = 0.8
_FIRST_RETRIES = 4


def _budget(state: ServingState) -> RetryBudget:
    bounds = state.settings.bounds
    return RetryBudget(
        bounds.retry_ratio * _RETRY_SHARE,
        _FIRST_RETRIES,
        _FIRST_RETRIES,
    )


def _entries(state: ServingState) -> RunnerEntries:
    return RunnerEntries(
        state.directory,
        state.dialects.runner,
        state.groups.forget,
    )


@define
class ServingState:
    """State shared by the tasks of one daemon.

    Attributes
    ----------
    settings
        Settings of the daemon.
    dialects
        How the outside is spoken to.
    platform
        Client of the platform.
    configuration
        The configuration in force.
    groups
        Groups that serve.
    directory
        Runners that have registered.
    entries
        Puts entries of runners into the directory.
    loads
        Requests in progress at upstreams.
    suspicions
        Upstreams that were found silent.
    retries
        Budget of retries by service.
    served
        Whether a request has come.
    is_keeper
        Whether this daemon keeps the groups.
    stopping
        Whether a planned stop has begun.
    model_work_s
        Time for which the requests so far keep full groups busy, by model.
    """

    settings: ServingSettings
    dialects: Dialects
    platform: PlatformClient
    configuration: ConfigurationInForce = field(
        default=Factory(
            lambda state: ConfigurationInForce(state.dialects.configuration),
            takes_self=True,
        ),
    )
    groups: GroupsView = field(factory=GroupsView)
    directory: RunnerTable = field(factory=RunnerTable)
    entries: RunnerEntries = field(
        default=Factory(_entries, takes_self=True),
    )
    loads: UpstreamLoads = field(
        factory=lambda: UpstreamLoads(time.monotonic),
    )
    suspicions: Suspicions = field(
        factory=lambda: Suspicions(time.monotonic),
    )
    served: bool = False
    is_keeper: bool = False
    model_work_s: defaultdict[str, float] = field(
        factory=lambda: defaultdict(float),
    )
    stopping: bool = False
    _retries: dict[str, RetryBudget] = field(factory=dict)

    @property
    def ready(self) -> bool:
        """Whether the balancer should send requests."""
        known = self.configuration.table is not None and self.directory.known
        return known and not self.stopping

    def all_doubts(self) -> frozenset[str]:
        """Return the upstreams that this daemon or a peer has doubts of."""
        suspects = set(self.suspicions.doubts)
        for report in self.loads.reports:
            suspects.update(report.suspects)
        return frozenset(suspects)

    def retries(self, service: str) -> RetryBudget:
        """Return the budget of retries of a service."""
        budget = self._retries.get(service)
        if budget is None:
            budget = _budget(self)
            self._retries[service] = budget
        return budget
