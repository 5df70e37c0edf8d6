"""What live daemons say of themselves."""

from __future__ import annotations

import json
from collections.abc import Iterable
from typing import Any

import urllib3
from attrs import frozen

from cowslipstep.metrics import DaemonIdentity

_TIMEOUT_S = 2


@frozen
class DaemonView:
    """A daemon as seen from here.

    Parameters
    ----------
    name
        Name of the daemon.
    failure_domain
        Failure domain of its host.
    address
        Where callers connect.
    reachable
        Whether it answered.
    ready
        Whether it takes requests.
    version
        Version of the configuration that it has in force.
    """

    name: str
    failure_domain: str
    address: str
    reachable: bool = False
    ready: bool = False
    version: int = 0


def view_daemons(daemons: Iterable[DaemonIdentity]) -> tuple[DaemonView, ...]:
    """Ask each daemon whether it is ready and which version it has."""
    http = urllib3.PoolManager(retries=False)
    return tuple(_view(http, daemon) for daemon in daemons)


def get_json(http: urllib3.PoolManager, address: str, path: str) -> Any:
    """Return the JSON answer of an address, or ``None`` without one."""
    text = get_text(http, address, path)
    try:
        return json.loads(text or '')
    except ValueError:
        return None


def get_text(
    http: urllib3.PoolManager,
    address: str,
    path: str,
) -> str | None:
    """Return the answer of an address, or ``None`` without one."""
    try:
        answer = http.request(
            'GET',
            f'http://{address}{path}',
            timeout=_TIMEOUT_S,
        )
    except urllib3.exceptions.HTTPError:
        return None
    return answer.data.decode(errors='replace')


def _view(http: urllib3.PoolManager, daemon: DaemonIdentity) -> DaemonView:
    place = (daemon.name, daemon.failure_domain, daemon.http_address)
    answer = get_json(http, daemon.http_address, '/readyz')
    if not isinstance(answer, dict):
        return DaemonView(*place)
    return DaemonView(
        *place,
        reachable=True,
        ready=answer.get('ready') is True,
        version=int(answer.get('version', 0)),
    )
