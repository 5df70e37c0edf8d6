"""Queries to the engines of hosts."""

from __future__ import annotations

from attrs import frozen

from cowslipstep.cli._daemons import get_json
from cowslipstep.model import Runner
from cowslipstep.platform import CheckedPools

_READY = 'ready'


@frozen
class HostState:
    """State of the engine of a host, as it reports it to this tool.

    Parameters
    ----------
    host
        Name of the host.
    state
        State that it reports, for example ``ready``; empty if it did not
        answer.
    group
        Group that it reports to be a member of; empty for none.
    """

    host: str
    state: str = ''
    group: str = ''

    def problem(self, group: str) -> str:
        """Return why it does not serve in a group; empty if it serves."""
        match self:
            case HostState(state=''):
                return f'{self.host} does not answer'
            case HostState(group=''):
                return f'{self.host} reports that it has no group'
            case HostState(group=other) if other != group:
                return f'{self.host} reports that its group is {other}'
            case HostState(state=state) if state != _READY:
                return f'{self.host} is {state}'
            case _:
                return ''


def query_host(runner: Runner) -> HostState:
    """Query the engine of a host for its state and group."""
    http = CheckedPools(retries=False)
    health = get_json(http, str(runner.address), '/health')
    if not isinstance(health, dict):
        return HostState(runner.host)
    return HostState(
        runner.host,
        str(health.get('state', '')),
        str(health.get('group', '')),
    )
