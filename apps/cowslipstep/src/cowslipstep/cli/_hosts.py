"""What engine hosts say of themselves."""

from __future__ import annotations

import urllib3
from attrs import frozen

from cowslipstep.cli._daemons import get_json
from cowslipstep.model import Runner

_READY = 'ready'


@frozen
class HostView:
    """A host as seen from here.

    Parameters
    ----------
    host
        Name of the host.
    state
        Its own word, for example ``ready``; empty without an answer.
    group
        Group that it belongs to by its own word.
    """

    host: str
    state: str = ''
    group: str = ''

    def problem(self, group: str) -> str:
        """Return what keeps it from serving in a group; empty for nothing."""
        match self:
            case HostView(state=''):
                return f'{self.host} does not answer'
            case HostView(group=''):
                return f'{self.host} says that it has no group'
            case HostView(group=other) if other != group:
                return f'{self.host} says that its group is {other}'
            case HostView(state=state) if state != _READY:
                return f'{self.host} is {state}'
            case _:
                return ''


def view_host(runner: Runner) -> HostView:
    """Ask a host for its state."""
    http = urllib3.PoolManager(retries=False)
    answer = get_json(http, str(runner.address), '/health')
    if not isinstance(answer, dict):
        return HostView(runner.host)
    return HostView(
        runner.host,
        str(answer.get('state', '')),
        str(answer.get('group', '')),
    )
